/// The platform's store when it takes calls and says nothing.

#include "Adapters/Platform/KeepAliveClient.h"
#include "Adapters/ScriptedServer.h"
#include "KeyValueService.h"

#include <future>
#include <memory>
#include <string>
#include <vector>

using namespace AdapterTests;
using namespace std::chrono_literals;

namespace {

/// So long after a host's connections were disturbed it counts as in touch again, on the installation with the shortest
/// bounds. What was published up to two seconds before, while its watch was swallowed, has to be in force by then.
constexpr auto inForceBound = 3000ms;
/// For the time limit beyond the wait (0.9 s), the pause after a broken watch (0.3 s), and a read from a slow store.
constexpr auto rereadTime = 1500ms;

std::chrono::milliseconds askedWait(const std::string& target)
{
    const std::string field = "waitMs=";
    const auto at = target.find(field);
    return std::chrono::milliseconds(at == std::string::npos ? 0 : std::stol(target.substr(at + field.size())));
}

} // namespace

TEST_CASE("a watch that a silent store swallows breaks in time for what is published meanwhile")
{
    std::promise<std::string> asked;
    std::promise<void> isOver;
    const auto over = isOver.get_future().share();
    ScriptedServer store(25190, [&asked, over](RawSocket&, const HttpMessage& request) {
        asked.set_value(request.startLine);
        over.wait();
        return false;
    });
    const auto loop = Adapters::EventLoop::create();
    const auto client = Adapters::KeepAliveClient::create(*loop, {});
    PlatformAdapter::KeyValueService service(*loop, *client, store.address());
    std::promise<bool> broken;
    loop->post([&] {
        service.watch("op/", 1, [&broken](const std::vector<Ports::WatchEvent>&, bool isBroken) { broken.set_value(isBroken); });
    });
    loop->start();
    CHECK(askedWait(asked.get_future().get()) < inForceBound - rereadTime);
    CHECK(broken.get_future().get());
    isOver.set_value();
    loop->post([&] { client->shutdown(); });
    loop->stop();
}
