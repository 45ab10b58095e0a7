/// Which threads run the request core, and that an adapter may report an attempt's end from within dispatch() without
/// deadlocking the service.

#include "Kernel/RequestService.h"

#include <doctest/doctest.h>
#include <future>
#include <optional>
#include <thread>

using namespace Kernel;
using namespace std::chrono_literals;

namespace {

constexpr auto viewLease = 1h;
constexpr Ports::LeaseId lease = 7;

/// Records the answer and the thread that delivered it.
class FakeCallers final : public Ports::CallerPort {
public:
    void start(Ports::CallerSink&) override { }
    void answer(Ports::CallerHandle, const Ports::Answer& answer) override
    {
        thread = std::this_thread::get_id();
        answered.set_value(answer);
    }
    std::size_t unanswered() const override { return 0; }
    void stop() override { }

    std::promise<Ports::Answer> answered;
    std::thread::id thread;
};

/// Records the last call and its thread; ends calls from within dispatch() when immediateEnd is set.
class FakeUpstreams final : public Ports::UpstreamPort {
public:
    void start(Ports::UpstreamSink& to) override { sink = &to; }
    void dispatch(Ports::UpstreamCall call) override
    {
        thread = std::this_thread::get_id();
        last = call.attempt;
        if (immediateEnd)
            sink->onAttemptEnded({ call.attempt, *immediateEnd, 0, {}, nullptr });
    }
    void cancel(Ports::AttemptId) override { }
    void stop() override { }

    Ports::UpstreamSink* sink = nullptr;
    std::optional<Ports::AttemptEnd> immediateEnd;
    std::optional<Ports::AttemptId> last;
    std::thread::id thread;
};

class FakePeers final : public Ports::PeerPort {
public:
    void start(Ports::PeerSink&) override { }
    void setPeers(std::vector<Ports::PeerAddress>) override { }
    bool send(const Ports::HostId&, std::string) override { return false; }
    void stop() override { }
};

std::shared_ptr<const Objects::ObjectSet> objects()
{
    auto set = std::make_shared<Objects::ObjectSet>();
    set->domains["imlil"] = { "imlil", Objects::DomainLevel::DataCentre, "atlas" };
    set->pools["desk"].name = "desk";
    auto& service = set->services["booking"];
    service.name = "booking";
    service.pool = "desk";
    service.expectedRunTime = 50ms;
    set->priorities["normal"] = { "normal", 0 };
    set->teams["hotels"] = { "hotels", { "normal" }, 0, 1 };
    return set;
}

/// One host that owns the pool desk with one upstream.
struct ServiceFixture {
    ServiceFixture()
    {
        Settings settings;
        settings.host = "imlil-1";
        settings.dataCentre = "imlil";
        service = RequestService::create(settings, 1, { callers, upstreams, peers }, *workers, *metrics);
        upstreams.start(*service);
        service->withTable([](auto& table) {
            Decision::AssignmentRecord record;
            record.version = 1;
            record.upstreams["desk-1"].pool = "desk";
            table.handleLeaseReply({ lease, Common::BootClock::now(), viewLease }, Common::BootClock::now());
            table.handleRecordRead(record, lease);
        });
        service->run([](auto& core, Decision::Moment at) {
            core.setConfiguration(at, objects(), 1);
            core.setUpstreams(at, "desk", { { "desk-1", "127.0.0.1:1", 8 } });
        });
    }

    ~ServiceFixture() { workers->stop(); }

    void sendRequest()
    {
        Ports::CallerRequest request;
        request.handle = 1;
        request.service = "booking";
        request.team = "hotels";
        request.priority = "normal";
        request.timeLeft = 1h;
        request.body = std::make_shared<const std::string>("body");
        service->onCallerRequest(request);
    }

    FakeCallers callers;
    FakeUpstreams upstreams;
    FakePeers peers;
    std::unique_ptr<WorkerPool> workers = WorkerPool::create(1);
    std::unique_ptr<Metrics> metrics = Metrics::create();
    std::unique_ptr<RequestService> service;
};

} // namespace

TEST_CASE("a request and its result are handled on the threads that deliver them")
{
    ServiceFixture fixture;
    fixture.sendRequest();
    REQUIRE(fixture.upstreams.last);
    CHECK(fixture.upstreams.thread == std::this_thread::get_id());
    std::thread::id resultThread;
    std::thread([&] {
        resultThread = std::this_thread::get_id();
        fixture.service->onAttemptEnded({ *fixture.upstreams.last, Ports::AttemptEnd::Answered, 200, "text/plain", std::make_shared<const std::string>("whole") });
    }).join();
    const auto answer = fixture.callers.answered.get_future().get();
    CHECK(answer.outcome == Ports::Outcome::Done);
    CHECK(*answer.body == "whole");
    CHECK(fixture.callers.thread == resultThread);
    CHECK(fixture.service->inFlight() == 0);
}

TEST_CASE("an attempt reported as not sent from within dispatch() is handled by a worker without deadlock, and its request waits for a retry")
{
    ServiceFixture fixture;
    fixture.upstreams.immediateEnd = Ports::AttemptEnd::NotSent;
    fixture.sendRequest();
    fixture.workers->stop(); // Returns once the posted jobs have run.
    fixture.service->run([](auto& core, Decision::Moment) {
        CHECK(core.counts().attempts == 1);
        CHECK(core.attemptsInFlight() == 0);
        CHECK(core.open() == 1);
    });
}
