#pragma once

/// For tests: an executor stand-in and a client on one event loop thread.

#include "Adapters/Platform/CurlClient.h"
#include "Standins/ExecutorStandin.h"
#include "Standins/HttpServer.h"
#include "Standins/PlatformFixture.h"

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Standins {

class ExecutorFixture {
public:
    explicit ExecutorFixture(const ExecutorSettings& settings)
        : loop(Adapters::EventLoop::create())
        , executor(ExecutorStandin::create(*loop, settings).take())
        , client(Adapters::CurlClient::create(*loop))
    {
        loop->start();
    }

    ~ExecutorFixture()
    {
        loop->post([this] {
            client->shutdown();
            executor->shutdown();
        });
        loop->stop();
    }

    /// Starts a call and returns the future outcome.
    std::future<Adapters::HttpOutcome> call(const std::string& method, const std::string& path, const std::string& requestId, const std::string& body)
    {
        const auto promise = std::make_shared<std::promise<Adapters::HttpOutcome>>();
        Adapters::HttpCall call;
        call.method = method;
        call.url = "http://127.0.0.1:" + std::to_string(executor->port()) + path;
        call.headers.push_back({ "Marigold-Request-Id", requestId });
        call.body = body;
        call.freshConnection = true;
        loop->post([this, promise, call] {
            client->start(call, [promise](Adapters::HttpOutcome outcome) { promise->set_value(std::move(outcome)); });
        });
        return promise->get_future();
    }

    /// Starts a task and returns when it occupies a slot; the future outcome is that of its end.
    std::future<Adapters::HttpOutcome> startTask(const std::string& requestId)
    {
        const auto before = stats().ran;
        auto outcome = call("POST", "/run/desk", requestId, "body of " + requestId);
        while (stats().ran == before)
            std::this_thread::yield();
        return outcome;
    }

    void setFault(const ExecutorFault& fault)
    {
        runOn(*loop, [&] { executor->setFault(fault); });
    }

    ExecutorStats stats()
    {
        return runOn(*loop, [&] { return executor->stats(); });
    }

    std::unique_ptr<Adapters::EventLoop> loop;
    std::unique_ptr<ExecutorStandin> executor;
    std::unique_ptr<Adapters::CurlClient> client;
};

} // namespace Standins
