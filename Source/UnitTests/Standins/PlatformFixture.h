#pragma once

/// For tests: a platform stand-in on its own event loop thread, and blocking calls.

#include "Adapters/Platform/EventLoop.h"
#include "Ports/PlatformPort.h"
#include "Standins/PlatformStandin.h"

#include <future>
#include <memory>
#include <string>

namespace Standins {

/// Runs the function on the loop's thread, waits for it and returns its result.
template<typename Function>
auto runOn(Adapters::EventLoop& loop, Function function)
{
    std::packaged_task<std::invoke_result_t<Function>()> task(std::move(function));
    auto result = task.get_future();
    loop.post([&task] { task(); });
    return result.get();
}

/// Runs a platform stand-in on a free port. The functions may be called on any thread but the loop's.
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

    /// The timeout exceeds any pause of a busy machine, so that no test result depends on it.
    Ports::PlatformSettings settings() const
    {
        const std::string address = "127.0.0.1:" + std::to_string(m_standin->port());
        return { address, address, std::chrono::minutes(5) };
    }

private:
    std::unique_ptr<Adapters::EventLoop> m_loop;
    std::unique_ptr<PlatformStandin> m_standin;
};

/// Calls `call` with a reply callback, waits for the reply and returns it.
template<typename Call>
Ports::PlatformReply replyTo(Call call)
{
    std::promise<Ports::PlatformReply> promise;
    call([&promise](Ports::PlatformReply reply) { promise.set_value(std::move(reply)); });
    return promise.get_future().get();
}

} // namespace Standins
