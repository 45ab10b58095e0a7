/// The way of a caller's call: to the owner of its queue's pool, on this host or another, and back.

#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/JobNodeState.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Jobs {

using Ports::JobAnswer;
using Ports::JobCall;
using Ports::JobOutcome;
using Ports::JobReply;
using Ports::JobVerb;

namespace {

    constexpr std::size_t longestJobId = 64;
    constexpr milliseconds ownerlessRetryAfter { 1000 }; ///< A takeover takes about two seconds, half of it is over on average.
    constexpr milliseconds peerRetryAfter { 500 };
    constexpr milliseconds defaultPatience { 3000 };
    constexpr milliseconds longestPeerWait { 1500 }; ///< A commit and the way there and back take some tens of milliseconds.

    constexpr std::array<const char*, 3> verbNames { "submit", "show", "cancel" };
    constexpr std::array<const char*, 9> outcomeNames { "accepted", "shown", "cancelled", "counted", "no-such-queue", "no-such-job", "malformed", "refused", "unknown" };

    JobAnswer answerWith(JobOutcome outcome, std::string reason = {}, milliseconds retryAfter = milliseconds(0))
    {
        JobAnswer answer;
        answer.outcome = outcome;
        answer.reason = std::move(reason);
        answer.retryAfter = retryAfter;
        return answer;
    }

    /// Answers "unknown" when whoever was to answer is destroyed before.
    class ReplyGuard {
    public:
        explicit ReplyGuard(JobReply reply)
            : m_reply(std::move(reply))
        {
        }

        ~ReplyGuard()
        {
            if (m_reply)
                m_reply(answerWith(JobOutcome::Unknown, "owner-lost"));
        }

        ReplyGuard(const ReplyGuard&) = delete;
        ReplyGuard& operator=(const ReplyGuard&) = delete;

        void operator()(const JobAnswer& answer)
        {
            if (const auto reply = std::exchange(m_reply, nullptr))
                reply(answer);
        }

    private:
        JobReply m_reply;
    };

    JobReply guarded(JobReply reply)
    {
        auto guard = std::make_shared<ReplyGuard>(std::move(reply));
        return [guard](const JobAnswer& answer) { (*guard)(answer); };
    }

    bool isJobId(const std::string& text)
    {
        const auto isAllowed = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); };
        return !text.empty() && text.size() <= longestJobId && std::ranges::all_of(text, isAllowed);
    }

    /// What a job's identifier is answered with when its owner can't be asked.
    JobAnswer unavailable(const char* reason, milliseconds retryAfter)
    {
        return answerWith(JobOutcome::Refused, reason, retryAfter);
    }

} // namespace

void JobNode::State::called(JobCall call, JobReply reply)
{
    const auto began = loop.now();
    const auto number = ++lastCall;
    const auto id = call.path.substr(call.path.rfind('/') + 1);
    unanswered.emplace(number, UnansweredCall { id, call.verb, began });
    auto logged = [this, began, number, verb = call.verb, id, reply = std::move(reply)](const JobAnswer& answer) {
        unanswered.erase(number);
        const auto* verbName = verbNames.at(static_cast<std::size_t>(verb));
        const auto* outcome = outcomeNames.at(static_cast<std::size_t>(answer.outcome));
        const auto took = loop.now() - began;
        metrics->countAnswer(verbName, outcome, answer.reason, took);
        const bool isPlain = answer.outcome == JobOutcome::Shown || answer.outcome == JobOutcome::Counted;
        if (!isPlain)
            writeEvent("door", { "answered", id, { { "verb", verbName }, { "outcome", outcome }, { "reason", answer.reason }, { "tookMs", std::to_string(std::chrono::duration_cast<milliseconds>(took).count()) }, { "configuration", std::to_string(configuration.version) } } });
        reply(answer);
    };
    if (isAbandoned) {
        logged(unavailable("stopping", ownerlessRetryAfter));
        return;
    }
    if (!isConfigured) {
        logged(unavailable("no-configuration", ownerlessRetryAfter));
        return;
    }
    const auto* queue = configuration.route(call.host, call.path);
    const auto job = queue ? call.path.substr(queue->prefix.size()) : std::string();
    const bool isCount = queue && job.empty() && call.verb == JobVerb::Show;
    if (!queue || !(isCount || isJobId(job)))
        logged(answerWith(JobOutcome::NoSuchQueue));
    else if (call.verb == JobVerb::Submit && !call.spec)
        logged(answerWith(JobOutcome::Malformed, call.bodyError));
    else
        pass(*queue, job, std::move(call), std::move(logged));
}

void JobNode::State::logUnanswered() const
{
    constexpr std::size_t mostListed = 50; // They are answered in a moment, as unknown; a line each bounds the log.
    std::size_t listed = 0;
    for (const auto& [number, call] : unanswered) {
        if (listed++ == mostListed)
            break;
        const auto waited = std::chrono::duration_cast<milliseconds>(loop.now() - call.since);
        writeEvent("door", { "unanswered", call.id, { { "verb", verbNames.at(static_cast<std::size_t>(call.verb)) }, { "waitedMs", std::to_string(waited.count()) }, { "calls", std::to_string(unanswered.size()) } } });
    }
}

void JobNode::State::pass(const QueueRule& queue, const JobId& id, JobCall call, JobReply reply)
{
    const auto own = owners.find(queue.pool);
    if (own != owners.end() && ownership.owns(queue.pool)) {
        PoolRequest request { call.verb, id, queue, {} };
        if (call.spec)
            request.spec = std::move(*call.spec);
        own->second->handle(std::move(request), guarded(std::move(reply)));
        return;
    }
    const auto* owner = ownership.ownerOf(queue.pool);
    if (!owner || owner->host == settings.ownership.self.host)
        reply(unavailable("no-owner", ownerlessRetryAfter));
    else
        passToPeer(owner->host, queue, id, std::move(call), std::move(reply));
}

void JobNode::State::passToPeer(const std::string& host, const QueueRule& queue, const JobId& id, JobCall call, JobReply reply)
{
    PoolCall message { 0, queue.pool, call.verb, id, queue.name, queue.priority, queue.maximumAttempts, queue.stretchPermille, queue.targetDuration, {} };
    if (call.spec)
        message.spec = std::move(*call.spec);
    const auto callerTimeout = call.callerTimeout > milliseconds(0) ? call.callerTimeout : defaultPatience;
    const auto timeout = std::min(longestPeerWait, callerTimeout * 3 / 4);
    peerCalls.call(host, std::move(message), timeout, [verb = call.verb, reply = std::move(reply)](PeerStatus status, const NodeMessage& frame) {
        const auto* answer = std::get_if<PoolCallAnswer>(&frame);
        if (status == PeerStatus::Answered && answer)
            reply({ answer->outcome, answer->state, answer->backlog, answer->retryAfter, answer->reason });
        else if (status == PeerStatus::NotSent || verb == JobVerb::Show)
            reply(unavailable("owner-unreachable", peerRetryAfter));
        else
            reply(answerWith(JobOutcome::Unknown, "owner-silent"));
    });
}

void JobNode::State::poolCalled(const std::string& from, PoolCall call)
{
    JobReply reply = [self = weak_from_this(), from, number = call.call](const JobAnswer& answer) {
        if (const auto it = self.lock())
            it->peerCalls.reply(from, PoolCallAnswer { number, answer.outcome, answer.state, answer.backlog, answer.retryAfter, answer.reason });
    };
    const auto own = owners.find(call.pool);
    if (own == owners.end() || !ownership.owns(call.pool)) {
        reply(unavailable("not-owner", peerRetryAfter));
        return;
    }
    PoolRequest request { call.verb, call.job, {}, std::move(call.spec) };
    request.queue.name = call.queue;
    request.queue.pool = call.pool;
    request.queue.priority = call.priority;
    request.queue.maximumAttempts = call.maximumAttempts;
    request.queue.stretchPermille = call.stretchPermille;
    request.queue.targetDuration = call.targetDuration;
    own->second->handle(std::move(request), guarded(std::move(reply)));
}

} // namespace Jobs
