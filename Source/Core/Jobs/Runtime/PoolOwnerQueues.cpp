/// Requests about jobs that may be in a pool that their queue had before.

#include "Jobs/Runtime/PoolOwnerState.h"

#include <algorithm>
#include <utility>

namespace Jobs {

using Ports::JobAnswer;
using Ports::JobOutcome;
using Ports::JobReply;
using Ports::JobVerb;

namespace {

    constexpr milliseconds otherPoolRetryAfter { 500 };

    /// Collects the answers of several pools; calls back once all have answered. An answer that never comes, as its call was dropped, counts
    /// as unknown.
    class AnswerCollector {
    public:
        using Callback = std::function<void(const std::vector<JobAnswer>&)>;

        AnswerCollector(std::size_t count, Callback callback)
            : m_answers(count)
            , m_callback(std::move(callback))
        {
        }

        ~AnswerCollector() { m_callback(m_answers); }
        AnswerCollector(const AnswerCollector&) = delete;
        AnswerCollector& operator=(const AnswerCollector&) = delete;

        void set(std::size_t index, const JobAnswer& answer) { m_answers[index] = answer; }

    private:
        std::vector<JobAnswer> m_answers;
        Callback m_callback;
    };

    /// The outcome that shows that the other pool has the job.
    JobOutcome knownOutcome(JobVerb verb) { return verb == JobVerb::Cancel ? JobOutcome::Cancelled : JobOutcome::Shown; }

    /// True for the answer that the job was cancelled while the other pool didn't know it.
    bool isCancelledAhead(JobVerb verb, const JobAnswer& answer) { return verb != JobVerb::Cancel && answer.outcome == JobOutcome::Cancelled; }

    /// Another pool's answer about a job, as the answer to the caller.
    JobAnswer answerAbout(JobVerb verb, JobAnswer answer)
    {
        if (verb == JobVerb::Submit)
            answer.outcome = JobOutcome::Accepted;
        return answer;
    }

    JobAnswer refusal(JobVerb verb, const char* reason = "other-pool-silent")
    {
        JobAnswer answer;
        answer.outcome = verb == JobVerb::Cancel ? JobOutcome::Unknown : JobOutcome::Refused;
        answer.reason = reason;
        answer.retryAfter = otherPoolRetryAfter;
        return answer;
    }

} // namespace

bool PoolOwner::State::isKnownHere(const PoolRequest& request) const
{
    const bool isRefused = request.verb == JobVerb::Submit && core.jobs().cancelledAheadAt(request.job);
    return !request.job.empty() && (core.jobs().stateOf(request.job) || isRefused);
}

JobReply PoolOwner::State::trackCall(const PoolRequest& request, JobReply reply)
{
    if (request.verb == JobVerb::Show)
        return reply;
    const auto it = callsUnderWay.insert(request.job);
    return [self = weak_from_this(), it, reply = std::move(reply)](const JobAnswer& answer) {
        if (const auto state = self.lock())
            state->callsUnderWay.erase(it);
        reply(answer);
    };
}

// A job that the asker is denied here it may accept at once. A call about it that began before doesn't know the asker yet, and must not
// accept the job as well.
void PoolOwner::State::answerOtherPool(PoolRequest request, const JobReply& reply)
{
    queueHomes.note(request.queue, request.asker);
    const bool isUnknown = request.verb == JobVerb::Show && !request.job.empty() && !core.jobs().stateOf(request.job);
    if (const auto* cancelledAt = isUnknown ? core.jobs().cancelledAheadAt(request.job) : nullptr) {
        JobAnswer answer;
        answer.outcome = JobOutcome::Cancelled;
        answer.retryAfter = core.retryAfterCancel(*cancelledAt, moment());
        journal.append({}, [reply, answer] { reply(answer); });
        return;
    }
    if (isUnknown && callsUnderWay.contains(request.job))
        reply(refusal(request.verb, "call-under-way"));
    else
        answerFromPool(std::move(request), reply);
}

void PoolOwner::State::onHomesFound(PoolRequest request, const JobReply& reply, const std::vector<QueueHome>& homes)
{
    std::vector<PoolCall> calls;
    for (const auto& it : homes) {
        const bool isAsked = std::ranges::any_of(calls, [&it](const PoolCall& call) { return call.pool == it.pool; });
        // A job is known by its id, a backlog by the queue's name.
        const bool isOther = request.job.empty() ? it != QueueHome { pool, request.queue.name } : it.pool != pool && !isAsked;
        if (!isOther)
            continue;
        PoolCall call;
        call.pool = it.pool;
        call.verb = request.verb == JobVerb::Cancel ? JobVerb::Cancel : JobVerb::Show;
        call.job = request.job;
        call.queue = it.queue;
        call.queueHost = request.queue.host;
        call.queuePrefix = request.queue.prefix;
        call.askingPool = pool;
        call.askingQueue = request.queue.name;
        calls.push_back(std::move(call));
    }
    if (calls.empty()) {
        answerFromPool(std::move(request), reply);
        return;
    }
    const auto collector = std::make_shared<AnswerCollector>(calls.size(), [self = weak_from_this(), request = std::move(request), reply](const std::vector<JobAnswer>& answers) {
        const auto state = self.lock();
        if (state && !state->isClosed && state->isServing)
            state->onOthersAnswered(request, reply, answers);
        else
            reply(refusal(request.verb));
    });
    for (std::size_t n = 0; n < calls.size(); ++n)
        hooks.askPool(std::move(calls[n]), [collector, n](const JobAnswer& answer) { collector->set(n, answer); });
}

void PoolOwner::State::onOthersAnswered(PoolRequest request, const JobReply& reply, const std::vector<JobAnswer>& answers)
{
    if (const auto known = std::ranges::find(answers, knownOutcome(request.verb), &JobAnswer::outcome); known != answers.end()) {
        limiter.write({ "job-in-other-pool", request.job, { { "queue", request.queue.name } } }, loop.now());
        reply(answerAbout(request.verb, *known));
        return;
    }
    const auto expected = request.job.empty() ? JobOutcome::Counted : JobOutcome::NoSuchJob;
    const auto isAhead = [verb = request.verb](const JobAnswer& it) { return isCancelledAhead(verb, it); };
    if (!std::ranges::all_of(answers, [&](const JobAnswer& it) { return it.outcome == expected || isAhead(it); })) {
        reply(refusal(request.verb));
        return;
    }
    const auto cancelled = std::ranges::find_if(answers, isAhead);
    if (request.verb == JobVerb::Submit && cancelled != answers.end()) {
        auto answer = refusal(request.verb, "cancelled");
        answer.retryAfter = cancelled->retryAfter;
        reply(answer);
        return;
    }
    std::uint64_t backlog = 0;
    for (const auto& it : answers)
        backlog += it.backlog;
    answerFromPool(std::move(request), [reply, backlog](JobAnswer answer) {
        answer.backlog += backlog;
        reply(answer);
    });
}

} // namespace Jobs
