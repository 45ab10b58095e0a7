/// Single faults of the request core, each as a short script for one host.

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

    /// One host "self" of data centre d1 with a view of its choice, and what it has done so far.
    class Script {
    public:
        explicit Script(std::vector<HostId> members, std::vector<HostId> alive, const Decision::RequestGuards& guards = {})
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

        void ask(Ports::CallerHandle handle, const std::string& idempotencyKey, bool idempotent = false, milliseconds timeLeft = 5000ms)
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
            take();
        }

        void forwarded(const HostId& from, const std::string& idempotencyKey, const std::string& home)
        {
            Messages::ForwardRequest message { "r1", "book-desk", "hotels", "normal", idempotencyKey, false, 5000ms, "", std::make_shared<const std::string>("body"), 1, home, 1 };
            hear(from, message);
        }

        void hear(const HostId& from, const Messages::PeerMessage& message)
        {
            core->peerMessage(moment(), from, message);
            take();
        }

        /// The holders' reply to the newest claim.
        void reply(const HostId& from, ClaimVerdict verdict, const Ports::Answer& answer = {})
        {
            hear(from, Messages::ClaimReply { last<Messages::ClaimRequest>().token, verdict, 1, answer });
        }

        void end(AttemptEnd how, int status = 200)
        {
            core->onAttemptEnded(moment(), { dispatched.back().attempt, how, status, "", std::make_shared<const std::string>("result") });
            take();
        }

        void take()
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

    /// "self" owns the pool and its records are kept by b and c.
    Script ownerOfOthersRecords(const Decision::RequestGuards& guards = {}) { return Script({ "b", "c" }, { "self" }, guards); }

    /// "self" owns the pool and keeps its records alone.
    Script alone() { return Script({ "self" }, { "self" }); }

    /// "self" is an entry host and "owner" has the pool.
    Script entry() { return Script({ "owner" }, { "owner" }); }

} // namespace

TEST_CASE("A claimant never dispatches a key again, even if every holder grants it")
{
    for (const bool remembers : { true, false }) {
        Decision::RequestGuards guards;
        guards.claimantRemembers = remembers;
        Script script = ownerOfOthersRecords(guards);
        const std::string key = script.key();
        for (Ports::CallerHandle handle : { 1, 2 }) {
            script.ask(handle, key);
            script.reply("b", ClaimVerdict::Granted);
            script.reply("c", ClaimVerdict::Granted);
            if (handle == 1)
                script.end(AttemptEnd::Lost);
        }
        CHECK(script.answers[1].outcome == Outcome::Unknown);
        CHECK(script.dispatched.size() == (remembers ? 1 : 2));
        if (remembers)
            CHECK(script.answers[2].reason == Reason::StillRunning);
    }
}

TEST_CASE("A key whose run was proved not to have begun may be dispatched again")
{
    Script script = ownerOfOthersRecords();
    const std::string key = script.key();
    for (Ports::CallerHandle handle : { 1, 2 }) {
        script.ask(handle, key, false, 40ms);
        script.reply("b", ClaimVerdict::Granted);
        script.reply("c", ClaimVerdict::Granted);
        script.now += 30ms;
        script.end(AttemptEnd::Refused);
        script.now += 2s; // Past the upstream's pause.
    }
    CHECK(script.answers[2].outcome == Outcome::NotRun);
    CHECK(script.dispatched.size() == 2);
}

TEST_CASE("The holder that knows the end outweighs one that missed it, and tells it")
{
    Script script = ownerOfOthersRecords();
    script.ask(1, script.key());
    Ports::Answer answer;
    answer.outcome = Outcome::Done;
    answer.status = 201;
    script.reply("b", ClaimVerdict::Running);
    CHECK(script.answers.empty());
    script.reply("c", ClaimVerdict::Finished, answer);
    CHECK(script.answers[1].status == 201);
    CHECK(script.all<Messages::ClaimFinished>().size() == 2);
    CHECK(script.dispatched.empty());
}

TEST_CASE("A silent holder's claims take the slots only once")
{
    Script script = ownerOfOthersRecords();
    const auto askKeyed = [&](Ports::CallerHandle first) {
        for (Ports::CallerHandle handle = first; handle < first + 8; ++handle)
            script.ask(handle, "d1/" + uuid7(script.moment().wall, handle));
    };
    askKeyed(1);
    script.ask(100, "", true);
    CHECK(script.dispatched.empty()); // All slots wait for b.
    script.now += 1s;
    script.core->tick(script.moment());
    script.take();
    CHECK(script.answers.size() == 8);
    CHECK(script.dispatched.size() == 1);
    askKeyed(11);
    script.ask(101, "", true);
    CHECK(script.dispatched.size() == 2);
    // A request that was claimed without a slot runs all the same, once both holders grant it.
    script.reply("b", ClaimVerdict::Granted);
    script.reply("c", ClaimVerdict::Granted);
    CHECK(script.dispatched.size() == 3);
}

TEST_CASE("A refused claim isn't granted by the rest of its holders")
{
    Script script = ownerOfOthersRecords();
    script.ask(1, script.key());
    script.reply("b", ClaimVerdict::ExpiredKey);
    script.reply("c", ClaimVerdict::Granted);
    CHECK(script.answers[1].outcome == Outcome::Unknown);
    CHECK(script.answers[1].reason == Reason::KeyTooOld);
    CHECK(script.all<Messages::ClaimReleased>().size() == 2);
}

TEST_CASE("Without a lease of its own a holder grants only what every member confirms")
{
    Script script({ "self", "b", "c", "d" }, { "self" });
    script.core->setVouchUntil(script.now, script.now);
    script.now += 1s;
    Messages::ClaimRequest claim { 5, { "desk", "hotels", script.key() }, 1, 1, false };
    script.hear("b", claim);
    CHECK(script.last<Messages::ClaimReply>().verdict == ClaimVerdict::StaleView);
    script.ask(1, script.key());
    for (const auto& holder : { "b", "c", "d" })
        script.reply(holder, ClaimVerdict::StaleView);
    CHECK(script.last<Messages::ClaimRequest>().allMembers);
    CHECK(script.answers[1].outcome == Outcome::Unknown);
    CHECK(script.answers[1].reason == Reason::ClaimUnavailable);
}

TEST_CASE("An explicit cancel of a forwarded request waits for the owner's word")
{
    Script script = entry();
    script.ask(1, "", true);
    REQUIRE(script.all<Messages::ForwardRequest>().size() == 1);
    const std::string key = script.key();
    script.ask(2, key);
    CHECK(script.core->cancelByKey(script.moment(), "hotels", key));
    script.take();
    CHECK(script.last<Messages::ForwardCancel>().cancelledByKey);
    CHECK(script.answers.empty());
    script.hear("owner", Messages::ForwardAnswer { script.last<Messages::ForwardRequest>().requestId, Decision::notRun(Reason::CancelledByCaller) });
    CHECK(script.answers[2].outcome == Outcome::NotRun);
    // Hanging up says nothing of whether the owner has begun.
    script.core->onCallerDisconnected(script.moment(), 1);
    script.take();
    CHECK_FALSE(script.last<Messages::ForwardCancel>().cancelledByKey);
    CHECK(script.answers[1].outcome == Outcome::Unknown);
}

TEST_CASE("An owner stops a claimed run for a cancel and not for a hang-up")
{
    Script script = alone();
    script.forwarded("entry", script.key(), "d1");
    REQUIRE(script.dispatched.size() == 1);
    script.hear("entry", Messages::ForwardCancel { "r1", false });
    CHECK(script.cancels == 0);
    script.hear("entry", Messages::ForwardCancel { "r1", true });
    CHECK(script.cancels == 1);
    // The result came all the same.
    script.end(AttemptEnd::Answered);
    CHECK(script.last<Messages::ForwardAnswer>().answer.outcome == Outcome::Done);
}

TEST_CASE("A request that joined another isn't called not run while that goes on")
{
    Script script = alone();
    // All slots are taken, so the first one of the key stays queued.
    for (Ports::CallerHandle handle = 10; handle < 18; ++handle)
        script.ask(handle, "", true);
    const std::string key = script.key();
    script.ask(1, key);
    script.ask(2, key);
    script.core->onCallerDisconnected(script.moment(), 2);
    script.take();
    CHECK(script.answers[2].outcome == Outcome::Unknown);
    // An explicit cancel ends them all.
    script.ask(3, key);
    script.core->cancelByKey(script.moment(), "hotels", key);
    script.take();
    CHECK(script.answers[1].outcome == Outcome::NotRun);
    CHECK(script.answers[3].outcome == Outcome::NotRun);
    CHECK(script.core->open() == 8);
}

TEST_CASE("What runs under another data centre's claim is refused truly and never sent on twice")
{
    Script refusing({ "self" }, { "self" });
    refusing.core->setUpstreams(refusing.moment(), "desk", {});
    refusing.forwarded("d2-h1", refusing.key("d2"), "d2");
    CHECK(refusing.last<Messages::ForwardAnswer>().answer.outcome == Outcome::NotRun);

    Script relaying = entry();
    relaying.forwarded("d2-h1", relaying.key("d2"), "d2");
    REQUIRE(relaying.all<Messages::ForwardRequest>().size() == 1);
    relaying.core->peerLost(relaying.moment(), "owner");
    relaying.take();
    CHECK(relaying.all<Messages::ForwardRequest>().size() == 1);
    CHECK(relaying.last<Messages::ForwardAnswer>().answer.outcome == Outcome::Unknown);
    CHECK(relaying.dispatched.empty());
}

TEST_CASE("An owner that was given up on has no say but the result")
{
    Script script({ "owner", "other" }, { "owner", "other" });
    script.ask(1, "", true);
    const HostId first = script.sent.back().to;
    const std::string id = script.last<Messages::ForwardRequest>().requestId;
    script.core->peerLost(script.moment(), first);
    script.take();
    CHECK(script.all<Messages::ForwardRequest>().size() == 2);
    script.hear(first, Messages::ForwardAnswer { id, Decision::notRun(Reason::CancelledByCaller) });
    CHECK(script.answers.empty());
    Ports::Answer done;
    done.outcome = Outcome::Done;
    script.hear(first, Messages::ForwardAnswer { id, done });
    CHECK(script.answers[1].outcome == Outcome::Done);
}

TEST_CASE("A body is set aside for losses that no success lies between")
{
    for (const bool succeeds : { true, false }) {
        Script script = alone();
        script.core->setUpstreams(script.moment(), "desk", { { "u1", "127.0.0.1:1", 1 }, { "u2", "127.0.0.1:2", 1 } });
        script.ask(1, "");
        script.end(AttemptEnd::Lost);
        const std::string first = script.dispatched.back().upstream;
        script.ask(2, "", true); // Takes the other one or, once more, the first.
        if (script.dispatched.back().upstream == first) {
            script.ask(3, "");
            REQUIRE(script.dispatched.back().upstream != first);
        }
        if (succeeds)
            script.end(AttemptEnd::Answered);
        else
            script.end(AttemptEnd::Lost);
        script.ask(4, "");
        CHECK((script.answers[4].reason == Reason::HarmfulRequest) == !succeeds);
    }
}

TEST_CASE("A refusal at the door that an earlier try of the key may have escaped is unknown")
{
    Script script = alone();
    script.ask(1, script.key(), false, 0ms);
    CHECK(script.answers[1].outcome == Outcome::Unknown);
    CHECK(script.answers[1].reason == Reason::DeadlinePassed);
    script.ask(2, "", false, 0ms);
    CHECK(script.answers[2].outcome == Outcome::NotRun);
    script.ask(3, "d9/" + uuid7(script.moment().wall, 1));
    CHECK(script.answers[3].reason == Reason::BadIdempotencyKey);
}

} // namespace RequestTests
