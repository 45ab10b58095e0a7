/// Tests of the request core of one host, each with a short sequence of events.

#include "Common/Rendezvous.h"
#include "Requests/VirtualFleet.h"

#include <doctest/doctest.h>

namespace RequestTests {

using namespace std::chrono_literals;
using Decision::RequestAction;
using Decision::SendPeer;
using Messages::ClaimVerdict;
using Ports::AttemptEnd;
using Ports::Outcome;
using Ports::Reason;

namespace {

    constexpr Common::WallTime start { 1790000000000ms };

    /// Drives the core of host "self" in data centre d1 and collects its actions.
    class CoreDriver {
    public:
        explicit CoreDriver(std::vector<HostId> members, std::vector<HostId> alive, const Decision::RequestGuards& guards = {})
            : core(Decision::RequestCore::create({ "self", "d1", 1, 1 }, {}, guards))
        {
            core->setConfiguration(moment(), fleetObjects(2), 1);
            core->setUpstreams(moment(), "desk", { { "u1", "127.0.0.1:1", 8 } });
            core->setView(moment(), { 1, std::move(members) });
            core->setAlive(moment(), std::move(alive));
            now += 10s;
        }

        Decision::Moment moment() const { return { now, start + std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) }; }

        std::string key(const std::string& home = "d1") const { return home + "/" + uuid7(moment().wall, 7); }

        void sendRequest(Ports::CallerHandle handle, const std::string& idempotencyKey, bool idempotent = false, milliseconds timeLeft = 5000ms)
        {
            Ports::CallerRequest request;
            request.handle = handle;
            request.service = "book-desk";
            request.team = "hotels";
            request.priority = "normal";
            request.idempotencyKey = idempotencyKey;
            request.idempotent = idempotent;
            request.timeLeft = timeLeft;
            request.body = std::make_shared<const std::string>("body");
            core->onCallerRequest(moment(), request);
            collectActions();
        }

        void receiveForward(const HostId& from, const std::string& idempotencyKey, const std::string& home)
        {
            Messages::ForwardRequest message { "r1", "book-desk", "hotels", "normal", idempotencyKey, false, 5000ms, "", std::make_shared<const std::string>("body"), 1, home, 1 };
            receive(from, message);
        }

        void receive(const HostId& from, const Messages::PeerMessage& message)
        {
            core->peerMessage(moment(), from, message);
            collectActions();
        }

        /// Delivers a holder's reply to the latest claim.
        void replyToClaim(const HostId& from, ClaimVerdict verdict, const Ports::Answer& answer = {})
        {
            receive(from, Messages::ClaimReply { last<Messages::ClaimRequest>().token, verdict, 1, answer });
        }

        void end(AttemptEnd how, int status = 200)
        {
            core->onAttemptEnded(moment(), { dispatched.back().attempt, how, status, "", std::make_shared<const std::string>("result") });
            collectActions();
        }

        void collectActions()
        {
            for (auto& action : core->takeActions()) {
                if (const auto* answer = std::get_if<Decision::AnswerCaller>(&action))
                    answers[answer->handle] = answer->answer;
                else if (const auto* call = std::get_if<Decision::DispatchAttempt>(&action))
                    dispatched.push_back(call->call);
                else if (std::get_if<Decision::CancelAttempt>(&action))
                    ++cancels;
                else
                    sent.push_back(std::get<SendPeer>(action));
            }
        }

        template<typename Message>
        std::vector<Message> all() const
        {
            std::vector<Message> found;
            for (const auto& it : sent) {
                if (const auto* message = std::get_if<Message>(&it.message))
                    found.push_back(*message);
            }
            return found;
        }

        template<typename Message>
        Message last() const { return all<Message>().back(); }

        Common::Instant now {};
        std::unique_ptr<Decision::RequestCore> core;
        std::map<Ports::CallerHandle, Ports::Answer> answers;
        std::vector<Ports::UpstreamCall> dispatched;
        std::vector<SendPeer> sent;
        unsigned cancels = 0;
    };

    /// "self" owns the pool; b and c are the holders of its records.
    CoreDriver ownerOfOthersRecords(const Decision::RequestGuards& guards = {}) { return CoreDriver({ "b", "c" }, { "self" }, guards); }

    /// "self" owns the pool and is the only holder of its records.
    CoreDriver soleHolder() { return CoreDriver({ "self" }, { "self" }); }

    /// "self" is an entry host; "owner" owns the pool and holds its records.
    CoreDriver entryHost() { return CoreDriver({ "owner" }, { "owner" }); }

} // namespace

TEST_CASE("A claimant never dispatches a key twice, even if every holder grants the second claim")
{
    for (const bool tracked : { true, false }) {
        Decision::RequestGuards guards;
        guards.claimantTracksRuns = tracked;
        CoreDriver driver = ownerOfOthersRecords(guards);
        const std::string key = driver.key();
        for (Ports::CallerHandle handle : { 1, 2 }) {
            driver.sendRequest(handle, key);
            driver.replyToClaim("b", ClaimVerdict::Granted);
            driver.replyToClaim("c", ClaimVerdict::Granted);
            if (handle == 1)
                driver.end(AttemptEnd::Lost);
        }
        CHECK(driver.answers[1].outcome == Outcome::Unknown);
        CHECK(driver.dispatched.size() == (tracked ? 1 : 2));
        if (tracked)
            CHECK(driver.answers[2].reason == Reason::StillRunning);
    }
}

TEST_CASE("A key can be dispatched again after the upstream proved that it refused the first attempt")
{
    CoreDriver driver = ownerOfOthersRecords();
    const std::string key = driver.key();
    for (Ports::CallerHandle handle : { 1, 2 }) {
        driver.sendRequest(handle, key, false, 40ms);
        driver.replyToClaim("b", ClaimVerdict::Granted);
        driver.replyToClaim("c", ClaimVerdict::Granted);
        driver.now += 30ms;
        driver.end(AttemptEnd::Refused);
        driver.now += 2s; // The upstream's pause after the refusal is over.
    }
    CHECK(driver.answers[2].outcome == Outcome::NotRun);
    CHECK(driver.dispatched.size() == 2);
}

TEST_CASE("A Finished verdict overrides a Running verdict, and the answer is sent to both holders")
{
    CoreDriver driver = ownerOfOthersRecords();
    driver.sendRequest(1, driver.key());
    Ports::Answer answer;
    answer.outcome = Outcome::Done;
    answer.status = 201;
    driver.replyToClaim("b", ClaimVerdict::Running);
    CHECK(driver.answers.empty());
    driver.replyToClaim("c", ClaimVerdict::Finished, answer);
    CHECK(driver.answers[1].status == 201);
    CHECK(driver.all<Messages::ClaimFinished>().size() == 2);
    CHECK(driver.dispatched.empty());
}

TEST_CASE("Claims that wait for an unresponsive holder block the slots only until the first timeout")
{
    CoreDriver driver = ownerOfOthersRecords();
    const auto submitKeyed = [&](Ports::CallerHandle first) {
        for (Ports::CallerHandle handle = first; handle < first + 8; ++handle)
            driver.sendRequest(handle, "d1/" + uuid7(driver.moment().wall, handle));
    };
    submitKeyed(1);
    driver.sendRequest(100, "", true);
    CHECK(driver.dispatched.empty()); // All slots are reserved by claims that wait for b and c.
    driver.now += 1s;
    driver.core->tick(driver.moment());
    driver.collectActions();
    CHECK(driver.answers.size() == 8);
    CHECK(driver.dispatched.size() == 1);
    submitKeyed(11);
    driver.sendRequest(101, "", true);
    CHECK(driver.dispatched.size() == 2);
    // A request that was claimed without a slot still runs once both holders grant the claim.
    driver.replyToClaim("b", ClaimVerdict::Granted);
    driver.replyToClaim("c", ClaimVerdict::Granted);
    CHECK(driver.dispatched.size() == 3);
}

TEST_CASE("A claim refused by one holder isn't granted by the other")
{
    CoreDriver driver = ownerOfOthersRecords();
    driver.sendRequest(1, driver.key());
    driver.replyToClaim("b", ClaimVerdict::ExpiredKey);
    driver.replyToClaim("c", ClaimVerdict::Granted);
    CHECK(driver.answers[1].outcome == Outcome::Unknown);
    CHECK(driver.answers[1].reason == Reason::KeyTooOld);
    CHECK(driver.all<Messages::ClaimReleased>().size() == 2);
}

TEST_CASE("A holder whose lease has expired grants a claim only if every member confirms the view")
{
    CoreDriver driver({ "self", "b", "c", "d" }, { "self" });
    driver.core->setMembershipValidUntil(driver.now, driver.now);
    driver.now += 1s;
    Messages::ClaimRequest claim { 5, { "desk", "hotels", driver.key() }, 1, 1, false };
    driver.receive("b", claim);
    CHECK(driver.last<Messages::ClaimReply>().verdict == ClaimVerdict::StaleView);
    driver.sendRequest(1, driver.key());
    for (const auto& holder : { "b", "c", "d" })
        driver.replyToClaim(holder, ClaimVerdict::StaleView);
    CHECK(driver.last<Messages::ClaimRequest>().allMembers);
    CHECK(driver.answers[1].outcome == Outcome::Unknown);
    CHECK(driver.answers[1].reason == Reason::ClaimUnavailable);
}

TEST_CASE("An explicit cancel of a forwarded request waits for the owner's answer")
{
    CoreDriver driver = entryHost();
    driver.sendRequest(1, "", true);
    REQUIRE(driver.all<Messages::ForwardRequest>().size() == 1);
    const std::string key = driver.key();
    driver.sendRequest(2, key);
    CHECK(driver.core->cancelByKey(driver.moment(), "hotels", key));
    driver.collectActions();
    CHECK(driver.last<Messages::ForwardCancel>().cancelledByKey);
    CHECK(driver.answers.empty());
    driver.receive("owner", Messages::ForwardAnswer { driver.last<Messages::ForwardRequest>().requestId, Decision::notRun(Reason::CancelledByCaller) });
    CHECK(driver.answers[2].outcome == Outcome::NotRun);
    // When the caller disconnects, it is unknown whether the owner has started the request.
    driver.core->onCallerDisconnected(driver.moment(), 1);
    driver.collectActions();
    CHECK_FALSE(driver.last<Messages::ForwardCancel>().cancelledByKey);
    CHECK(driver.answers[1].outcome == Outcome::Unknown);
}

TEST_CASE("An owner stops a claimed run after an explicit cancel, but not when the caller disconnects")
{
    CoreDriver driver = soleHolder();
    driver.receiveForward("entry", driver.key(), "d1");
    REQUIRE(driver.dispatched.size() == 1);
    driver.receive("entry", Messages::ForwardCancel { "r1", false });
    CHECK(driver.cancels == 0);
    driver.receive("entry", Messages::ForwardCancel { "r1", true });
    CHECK(driver.cancels == 1);
    // The result arrived despite the cancellation.
    driver.end(AttemptEnd::Answered);
    CHECK(driver.last<Messages::ForwardAnswer>().answer.outcome == Outcome::Done);
}

TEST_CASE("A joined request isn't answered with NotRun while the earlier request is still open")
{
    CoreDriver driver = soleHolder();
    // All slots are busy, so the first request with the key stays queued.
    for (Ports::CallerHandle handle = 10; handle < 18; ++handle)
        driver.sendRequest(handle, "", true);
    const std::string key = driver.key();
    driver.sendRequest(1, key);
    driver.sendRequest(2, key);
    driver.core->onCallerDisconnected(driver.moment(), 2);
    driver.collectActions();
    CHECK(driver.answers[2].outcome == Outcome::Unknown);
    // An explicit cancel ends all requests with the key.
    driver.sendRequest(3, key);
    driver.core->cancelByKey(driver.moment(), "hotels", key);
    driver.collectActions();
    CHECK(driver.answers[1].outcome == Outcome::NotRun);
    CHECK(driver.answers[3].outcome == Outcome::NotRun);
    CHECK(driver.core->open() == 8);
}

TEST_CASE("A request offloaded by another data centre is answered with NotRun when refused, and is never forwarded twice")
{
    CoreDriver refusing({ "self" }, { "self" });
    refusing.core->setUpstreams(refusing.moment(), "desk", {});
    refusing.receiveForward("d2-h1", refusing.key("d2"), "d2");
    CHECK(refusing.last<Messages::ForwardAnswer>().answer.outcome == Outcome::NotRun);

    CoreDriver relaying = entryHost();
    relaying.receiveForward("d2-h1", relaying.key("d2"), "d2");
    REQUIRE(relaying.all<Messages::ForwardRequest>().size() == 1);
    relaying.core->peerLost(relaying.moment(), "owner");
    relaying.collectActions();
    CHECK(relaying.all<Messages::ForwardRequest>().size() == 1);
    CHECK(relaying.last<Messages::ForwardAnswer>().answer.outcome == Outcome::Unknown);
    CHECK(relaying.dispatched.empty());
}

TEST_CASE("After a request is forwarded to a new owner, the previous owner's answer is ignored unless it is the result")
{
    CoreDriver driver({ "owner", "other" }, { "owner", "other" });
    driver.sendRequest(1, "", true);
    const HostId first = driver.sent.back().to;
    const std::string id = driver.last<Messages::ForwardRequest>().requestId;
    driver.core->peerLost(driver.moment(), first);
    driver.collectActions();
    CHECK(driver.all<Messages::ForwardRequest>().size() == 2);
    driver.receive(first, Messages::ForwardAnswer { id, Decision::notRun(Reason::CancelledByCaller) });
    CHECK(driver.answers.empty());
    Ports::Answer done;
    done.outcome = Outcome::Done;
    driver.receive(first, Messages::ForwardAnswer { id, done });
    CHECK(driver.answers[1].outcome == Outcome::Done);
}

TEST_CASE("A body is blocked after upstream losses, unless a successful run lies between them")
{
    for (const bool succeeds : { true, false }) {
        CoreDriver driver = soleHolder();
        driver.core->setUpstreams(driver.moment(), "desk", { { "u1", "127.0.0.1:1", 1 }, { "u2", "127.0.0.1:2", 1 } });
        driver.sendRequest(1, "");
        driver.end(AttemptEnd::Lost);
        const std::string first = driver.dispatched.back().upstream;
        driver.sendRequest(2, "", true); // Runs on the other upstream or again on the first.
        if (driver.dispatched.back().upstream == first) {
            driver.sendRequest(3, "");
            REQUIRE(driver.dispatched.back().upstream != first);
        }
        if (succeeds)
            driver.end(AttemptEnd::Answered);
        else
            driver.end(AttemptEnd::Lost);
        driver.sendRequest(4, "");
        CHECK((driver.answers[4].reason == Reason::HarmfulRequest) == !succeeds);
    }
}

TEST_CASE("A keyed request that fails the admission check is answered with Unknown if an earlier try may have run")
{
    CoreDriver driver = soleHolder();
    driver.sendRequest(1, driver.key(), false, 0ms);
    CHECK(driver.answers[1].outcome == Outcome::Unknown);
    CHECK(driver.answers[1].reason == Reason::DeadlinePassed);
    driver.sendRequest(2, "", false, 0ms);
    CHECK(driver.answers[2].outcome == Outcome::NotRun);
    driver.sendRequest(3, "d9/" + uuid7(driver.moment().wall, 1));
    CHECK(driver.answers[3].reason == Reason::BadIdempotencyKey);
}

} // namespace RequestTests
