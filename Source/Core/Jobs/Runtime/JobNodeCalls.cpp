/// Routes a caller's call to the owner of its queue's pool, on this host or on a peer, and returns the answer.

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

    constexpr std::size_t maximumJobIdLength = 64;
    constexpr milliseconds noOwnerRetryAfter { 1000 }; ///< A takeover takes about 2 s; on average half of that is over when a call comes.
    constexpr milliseconds peerRetryAfter { 500 };
    constexpr milliseconds defaultPatience { 3000 };
    constexpr milliseconds maximumPeerTimeout { 1500 }; ///< A commit and the round trip take some tens of milliseconds.

    constexpr std::array<const char*, 3> verbNames { "submit", "show", "cancel" };
    constexpr std::array<const char*, 9> outcomeNames { "accepted", "shown", "cancelled", "counted", "no-such-queue", "no-such-job", "malformed", "refused", "unknown" };

    JobAnswer makeAnswer(JobOutcome outcome, std::string reason = {}, milliseconds retryAfter = milliseconds(0))
    {
        JobAnswer answer;
        answer.outcome = outcome;
        answer.reason = std::move(reason);
        answer.retryAfter = retryAfter;
        return answer;
    }

    /// Replies once; replies "unknown" with the reason "owner-lost" when it is destroyed before it has replied.
    class ReplyGuard {
    public:
        explicit ReplyGuard(JobReply reply)
            : m_reply(std::move(reply))
        {
        }

        ~ReplyGuard()
        {
            if (m_reply)
                m_reply(makeAnswer(JobOutcome::Unknown, "owner-lost"));
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

    JobReply guardReply(JobReply reply)
    {
        auto guard = std::make_shared<ReplyGuard>(std::move(reply));
        return [guard](const JobAnswer& answer) { (*guard)(answer); };
    }

    bool isJobId(const std::string& text)
    {
        const auto isAllowed = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); };
        return !text.empty() && text.size() <= maximumJobIdLength && std::ranges::all_of(text, isAllowed);
    }

    /// Answer to a call that can't reach the pool's owner.
    JobAnswer refusal(const char* reason, milliseconds retryAfter)
    {
        return makeAnswer(JobOutcome::Refused, reason, retryAfter);
    }

    PoolRequest requestOf(PoolCall call)
    {
        PoolRequest request { call.verb, std::move(call.job), {}, std::move(call.spec), call.configuration, { std::move(call.askingPool), std::move(call.askingQueue) } };
        request.queue.name = std::move(call.queue);
        request.queue.host = std::move(call.queueHost);
        request.queue.prefix = std::move(call.queuePrefix);
        request.queue.pool = std::move(call.pool);
        request.queue.priority = call.priority;
        request.queue.maximumAttempts = call.maximumAttempts;
        request.queue.stretchPermille = call.stretchPermille;
        request.queue.targetDuration = call.targetDuration;
        return request;
    }

} // namespace

void JobNode::State::handleCall(JobCall call, JobReply reply)
{
    const auto arrivedAt = loop.now();
    const auto number = ++lastCall;
    const auto id = call.path.substr(call.path.rfind('/') + 1);
    unansweredCalls.emplace(number, UnansweredCall { id, call.verb, arrivedAt });
    auto logAndReply = [this, arrivedAt, number, verb = call.verb, id, reply = std::move(reply)](const JobAnswer& answer) {
        unansweredCalls.erase(number);
        const auto* verbName = verbNames.at(static_cast<std::size_t>(verb));
        const auto* outcome = outcomeNames.at(static_cast<std::size_t>(answer.outcome));
        const auto duration = loop.now() - arrivedAt;
        metrics->countAnswer(verbName, outcome, answer.reason, duration);
        const bool isReadOnly = answer.outcome == JobOutcome::Shown || answer.outcome == JobOutcome::Counted;
        if (!isReadOnly)
            writeEvent("calls", { "answered", id, { { "verb", verbName }, { "outcome", outcome }, { "reason", answer.reason }, { "tookMs", std::to_string(std::chrono::duration_cast<milliseconds>(duration).count()) }, { "configuration", std::to_string(configuration.version) } } });
        reply(answer);
    };
    if (isAbandoned) {
        logAndReply(refusal("stopping", noOwnerRetryAfter));
        return;
    }
    if (!isConfigured) {
        logAndReply(refusal("no-configuration", noOwnerRetryAfter));
        return;
    }
    const auto* queue = configuration.route(call.host, call.path);
    const auto job = queue ? call.path.substr(queue->prefix.size()) : std::string();
    const bool isBacklogCall = queue && job.empty() && call.verb == JobVerb::Show;
    if (!queue || !(isBacklogCall || isJobId(job)))
        logAndReply(makeAnswer(JobOutcome::NoSuchQueue));
    else if (call.verb == JobVerb::Submit && !call.spec)
        logAndReply(makeAnswer(JobOutcome::Malformed, call.bodyError));
    else
        routeCall(*queue, job, std::move(call), std::move(logAndReply));
}

void JobNode::State::logUnanswered() const
{
    constexpr std::size_t maximumListed = 50; // Bounds the log. The calls are answered as unknown right after this.
    std::size_t listed = 0;
    for (const auto& [number, call] : unansweredCalls) {
        if (listed++ == maximumListed)
            break;
        const auto waited = std::chrono::duration_cast<milliseconds>(loop.now() - call.since);
        writeEvent("calls", { "unanswered", call.id, { { "verb", verbNames.at(static_cast<std::size_t>(call.verb)) }, { "waitedMs", std::to_string(waited.count()) }, { "calls", std::to_string(unansweredCalls.size()) } } });
    }
}

void JobNode::State::routeCall(const QueueRule& queue, const JobId& id, JobCall call, JobReply reply)
{
    PoolCall message { 0, queue.pool, call.verb, id, queue.name, queue.priority, queue.maximumAttempts, queue.stretchPermille, queue.targetDuration, {}, queue.host, queue.prefix, configuration.version, {}, {} };
    if (call.spec)
        message.spec = std::move(*call.spec);
    const auto callerTimeout = call.callerTimeout > milliseconds(0) ? call.callerTimeout : defaultPatience;
    callPool(std::move(message), std::min(maximumPeerTimeout, callerTimeout * 3 / 4), std::move(reply));
}

void JobNode::State::callPool(PoolCall message, milliseconds timeout, JobReply reply)
{
    const auto ownPool = owners.find(message.pool);
    if (ownPool != owners.end() && ownership.owns(message.pool)) {
        ownPool->second->handle(requestOf(std::move(message)), guardReply(std::move(reply)));
        return;
    }
    const auto* owner = ownership.ownerOf(message.pool);
    if (!owner || owner->host == settings.ownership.self.host) {
        reply(refusal("no-owner", noOwnerRetryAfter));
        return;
    }
    const auto verb = message.verb;
    peerCalls.call(owner->host, std::move(message), timeout, [verb, reply = std::move(reply)](PeerStatus status, const NodeMessage& frame) {
        const auto* answer = std::get_if<PoolCallAnswer>(&frame);
        if (status == PeerStatus::Answered && answer)
            reply({ answer->outcome, answer->state, answer->backlog, answer->retryAfter, answer->reason });
        else if (status == PeerStatus::NotSent || verb == JobVerb::Show)
            reply(refusal("owner-unreachable", peerRetryAfter));
        else
            reply(makeAnswer(JobOutcome::Unknown, "owner-silent"));
    });
}

void JobNode::State::handlePoolCall(const std::string& from, PoolCall call)
{
    JobReply reply = [self = weak_from_this(), from, number = call.call](const JobAnswer& answer) {
        if (const auto it = self.lock())
            it->peerCalls.reply(from, PoolCallAnswer { number, answer.outcome, answer.state, answer.backlog, answer.retryAfter, answer.reason });
    };
    const auto ownPool = owners.find(call.pool);
    if (ownPool == owners.end() || !ownership.owns(call.pool)) {
        reply(refusal("not-owner", peerRetryAfter));
        return;
    }
    ownPool->second->handle(requestOf(std::move(call)), guardReply(std::move(reply)));
}

} // namespace Jobs
