/// The platform's store when it accepts calls but never answers.

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

/// On the installation with the shortest bounds, a host counts as connected this long after its connections were disturbed. What was
/// published up to two seconds before, while its watch got no answer, must have taken effect within this time.
constexpr auto inForceBound = 3000ms;
/// Covers the timeout beyond the requested wait (0.9 s), the pause after a broken watch (0.3 s), and a read from a slow store.
constexpr auto rereadTime = 1500ms;

std::chrono::milliseconds requestedWait(const std::string& target)
{
    const std::string field = "waitMs=";
    const auto at = target.find(field);
    return std::chrono::milliseconds(at == std::string::npos ? 0 : std::stol(target.substr(at + field.size())));
}

} // namespace

TEST_CASE("a watch that the store never answers times out soon enough for a read to pick up what was published meanwhile")
{
    std::promise<std::string> requestLine;
    std::promise<void> release;
    const auto released = release.get_future().share();
    ScriptedServer store(25190, [&requestLine, released](RawSocket&, const HttpMessage& request) {
        requestLine.set_value(request.startLine);
        released.wait();
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
    CHECK(requestedWait(requestLine.get_future().get()) < inForceBound - rereadTime);
    CHECK(broken.get_future().get());
    release.set_value();
    loop->post([&] { client->shutdown(); });
    loop->stop();
}
