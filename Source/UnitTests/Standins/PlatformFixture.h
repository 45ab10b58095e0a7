#pragma once

/// A platform stand-in on a loop of its own, and blocking calls, for tests.

#include "Adapters/Platform/EventLoop.h"
#include "Ports/PlatformPort.h"
#include "Standins/PlatformStandin.h"

#include <future>
#include <memory>
#include <string>

namespace Standins {

/// Runs the function on the loop's thread and waits for it.
template<typename Function>
auto runOn(Adapters::EventLoop& loop, Function function)
{
    std::packaged_task<std::invoke_result_t<Function>()> task(std::move(function));
    auto result = task.get_future();
    loop.post([&task] { task(); });
    return result.get();
}

/// Serves on a free port until it goes out of scope.
class PlatformFixture {
public:
    PlatformFixture()
        : m_loop(Adapters::EventLoop::create())
        , m_standin(PlatformStandin::create(*m_loop, {}).take())
    {
        m_loop->start();
    }

    ~PlatformFixture()
    {
        m_loop->post([this] { m_standin->shutdown(); });
        m_loop->stop();
    }

    void setFault(const PlatformFault& fault)
    {
        runOn(*m_loop, [&] { m_standin->setFault(fault); });
    }

    void setHosts(const std::vector<Ports::ListedHost>& hosts)
    {
        runOn(*m_loop, [&] { m_standin->setHosts(hosts); });
    }

    void breakWatches()
    {
        runOn(*m_loop, [&] { m_standin->breakWatches(); });
    }

    PlatformCounters counters()
    {
        return runOn(*m_loop, [&] { return m_standin->counters(); });
    }

    /// The timeout is far beyond any pause of the machine: no verdict hangs on it.
    Ports::PlatformSettings settings() const
    {
        const std::string address = "127.0.0.1:" + std::to_string(m_standin->port());
        return { address, address, std::chrono::minutes(5) };
    }

private:
    std::unique_ptr<Adapters::EventLoop> m_loop;
    std::unique_ptr<PlatformStandin> m_standin;
};

/// Makes a call that takes a reply callback as its last argument, and waits for the reply.
template<typename Call>
Ports::PlatformReply replyTo(Call call)
{
    std::promise<Ports::PlatformReply> promise;
    call([&promise](Ports::PlatformReply reply) { promise.set_value(std::move(reply)); });
    return promise.get_future().get();
}

} // namespace Standins
