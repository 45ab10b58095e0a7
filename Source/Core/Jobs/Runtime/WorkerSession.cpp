#include "Jobs/Runtime/WorkerSession.h"

#include "Jobs/Decision/PollRetry.h"
#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/WorkerClock.h"

#include <algorithm>
#include <utility>

namespace Jobs {

using Common::Instant;
using Ports::WorkerAnswer;
using Ports::WorkerRefusal;
using Ports::WorkerStatus;

namespace {

    constexpr milliseconds initialRetryDelay { 60 }; ///< A lost answer costs little; the worker answers in a few milliseconds.
    constexpr milliseconds maximumRetryDelay { 1000 }; ///< Each attempt of a poll and each new connection has a cost.
    constexpr milliseconds shortestPollMargin { 400 }; ///< Of the ports' timeouts of polls, beyond the time that the worker waits.
    constexpr milliseconds endStoreWait { 300 }; ///< For ends to be committed; after that, a poll that acknowledges none is sent.
    constexpr milliseconds unansweredLimit { 3000 }; ///< Of an order; twice the timeout of an attempt, plus the first retry delays.
    bool isAnswered(const WorkerAnswer& answer) { return answer.status == WorkerStatus::Done || answer.status == WorkerStatus::Refused; }

} // namespace

struct WorkerSession::State : std::enable_shared_from_this<WorkerSession::State> {
    State(Common::TaskLoop& taskLoop, Ports::WorkerPort& workerPort, const SessionLimits& sessionLimits, Fence ownFence, const WorkerEntry& workerEntry, Hooks sessionHooks)
        : loop(taskLoop)
        , port(workerPort)
        , limits(sessionLimits)
        , fence(ownFence)
        , entry(workerEntry)
        , hooks(std::move(sessionHooks))
        , clock(taskLoop.now() + sessionLimits.takeoverLapse, sessionLimits.longestLease)
    {
    }

    Ports::WorkerTarget target() const { return { entry.id, entry.address }; }

    /// The fencing token of the next call. Calls that were meant for an earlier incarnation may still be carried out, and those that
    /// acknowledge ends or start runs have followed a commit: with a token of a later commit, the current incarnation refuses them.
    Fence nextFence()
    {
        if (const auto newest = isRaiseDue ? hooks.newestFence() : fence; newest > fence) {
            fence = newest;
            isRaiseDue = false;
        }
        return fence;
    }

    /// The session itself has used a higher token since the call was sent: the refusal says nothing about other owners.
    bool isOvertaken(const WorkerAnswer& answer, Fence sent) const { return answer.refusal == WorkerRefusal::Fence && sent < fence; }

    /// Extends the lease and returns its end on the worker's clock; zero while that clock isn't known or the owner mustn't extend.
    /// The lease of a worker that fails polls isn't extended: any attempt may reach it, and the lease would never lapse.
    Ports::WorkerTime extendLease()
    {
        if (!clock.isKnown() || failedPolls > 0 || !hooks.mayExtendLease())
            return Ports::WorkerTime(0);
        return clock.extendLease(loop.now(), limits.leaseTime);
    }

    /// A start has to name a lease: the current one if it isn't to be extended.
    Ports::WorkerTime leaseForStart()
    {
        const auto until = extendLease();
        return until.count() > 0 ? until : clock.latestLeaseEnd();
    }

    void sendPoll()
    {
        if (isClosed || isPolling || entry.address.empty())
            return;
        isPolling = true;
        loop.cancel(pollTimer);
        // The worker may have restarted, and the number would acknowledge ends of its new incarnation: it is sent no longer than it has to be.
        const auto acknowledged = failedPolls == 0 && !isCheckingIncarnation && acknowledgedEnds > forgottenEnds ? acknowledgedEnds : 0;
        Ports::PollOrder order { target(), nextFence(), acknowledged, isCheckingIncarnation ? Ports::WorkerTime(0) : extendLease(), milliseconds(0) };
        // The first poll, and one after a failure, return at once, to show whether the worker is reachable.
        if (clock.isKnown() && failedPolls == 0 && !isCheckingIncarnation)
            order.wait = hooks.needsLatencyPoll() ? limits.latencyPollWait : limits.pollWait;
        const auto sentAt = loop.now();
        pollLength = order.wait + shortestPollMargin;
        port.poll(order, [self = shared_from_this(), sentAt, acknowledged, sent = order.fence, number = ++lastPoll](const Ports::PollAnswer& answer) {
            if (number != self->lastPoll)
                return; // Of an earlier incarnation.
            self->isPolling = false;
            self->isCheckingIncarnation = false;
            if (!self->isClosed)
                self->onPollAnswered(answer, sentAt, acknowledged, sent);
        });
    }

    void onPollAnswered(const Ports::PollAnswer& poll, Instant sentAt, std::uint64_t acknowledged, Fence sent)
    {
        if (poll.incarnation != 0 && poll.incarnation < incarnation) {
            schedulePoll(endStoreWait); // Delayed answer of an earlier incarnation: its clock and its ends say nothing about the current one.
            return;
        }
        if (poll.incarnation != 0 && poll.incarnation != incarnation) {
            beginIncarnation(poll.incarnation);
            acknowledged = 0;
        }
        if (isOvertaken(poll.answer, sent)) {
            schedulePoll(milliseconds(0));
            return;
        }
        if (!applyAnswer(poll.answer, clock.epoch(), sent, sentAt)) {
            onPollFailed(isBrokenEarly(poll.answer, sentAt));
            return;
        }
        forgottenEnds = std::max(forgottenEnds, acknowledged);
        failedPolls = 0;
        isGone = false;
        isSilent = false;
        loop.cancel(silentTimer);
        loop.cancel(lapseTimer);
        std::uint64_t newest = acknowledgedEnds;
        for (const auto& it : poll.ended)
            newest = std::max(newest, it.number);
        hooks.onPollAnswered(poll, sentAt);
        if (isClosed)
            return;
        // With new ends, acknowledgeEnds() polls earlier, as soon as they are committed.
        schedulePoll(newest == acknowledgedEnds ? milliseconds(0) : endStoreWait);
    }

    /// The clock and the numbers of ends restart, and all runs are gone. Calls to the earlier incarnation that this one carries out give it
    /// leases as well, as long as the times of their clock allow.
    void beginIncarnation(std::uint64_t number)
    {
        if (incarnation != 0) {
            clock.reset(loop.now() + longestCall + maximumSpanOf(limits.longestLease));
            writeEvent("session", { "incarnation-began", entry.id, { { "incarnation", std::to_string(number) }, { "failedPolls", std::to_string(failedPolls) }, { "leaseUntilMs", std::to_string(leaseRemaining().count()) } } });
        }
        isRaiseDue = true; // Also for the first one: an earlier session of this owner may have called another.
        acknowledgedEnds = 0;
        forgottenEnds = 0;
        incarnation = number;
    }

    void schedulePoll(milliseconds delay)
    {
        loop.cancel(pollTimer);
        pollTimer = loop.after(delay, [self = shared_from_this()] { self->sendPoll(); });
    }

    /// True when the connection was refused or broke, rather than timed out.
    bool isBrokenEarly(const WorkerAnswer& answer, Instant sentAt) const
    {
        const bool isUnanswered = answer.status == WorkerStatus::NotSent || answer.status == WorkerStatus::NoAnswer;
        return isUnanswered && loop.now() - sentAt < pollLength;
    }

    void onPollFailed(bool isBroken)
    {
        if (failedPolls++ == 0) {
            // A connection that broke before its time shows that the worker had been there until then.
            hooks.onFailing(isBroken && clock.isKnown() ? loop.now() : clock.lastAnswerAt());
            silentTimer = loop.after(limits.silentAfter, [self = shared_from_this()] { self->reportSilence(); });
            scheduleLapse();
        } else if (isBroken) {
            reportSilence(); // The machine refuses connections.
        }
        schedulePoll(pollRetryDelay(failedPolls, isGone ? WorkerUse::Gone : hooks.hasRuns() ? WorkerUse::Busy
                                                                                            : WorkerUse::Idle));
    }

    void reportSilence()
    {
        loop.cancel(silentTimer);
        if (!isClosed && !std::exchange(isSilent, true))
            hooks.onSilent();
    }

    void scheduleLapse()
    {
        lapseTimer = loop.after(std::max(milliseconds(1), leaseRemaining()), [self = shared_from_this()] {
            if (self->isClosed || self->failedPolls == 0)
                return;
            // Orders sent in the meantime may have extended the lease.
            if (self->clock.lapsedAt() > self->loop.now())
                self->scheduleLapse();
            else
                self->onLapse(WorkerLoss::Lapsed);
        });
    }

    void onLapse(WorkerLoss loss)
    {
        writeEvent("session", { "lease-lapsed", entry.id, { { "known", clock.isKnown() ? "yes" : "no" }, { "latestLeaseMs", std::to_string(clock.latestLeaseEnd().count()) }, { "lastAnswerAgeMs", std::to_string(ageOfLastAnswer().count()) }, { "failedPolls", std::to_string(failedPolls) } } });
        clock.reset(loop.now());
        hooks.onLapsed(loss);
    }

    /// Handles what every answer contains: the worker's clock and a refusal by fence. True if the call was carried out. The answer to a call of
    /// an earlier epoch may come from an earlier incarnation, whose clock is another one.
    bool applyAnswer(const WorkerAnswer& answer, std::uint64_t epoch, Fence sent, Instant sentAt)
    {
        if (answer.refusal == WorkerRefusal::Fence) {
            if (!isOvertaken(answer, sent)) {
                const auto fenced = hooks.onFenced;
                fenced();
            }
            return false;
        }
        if (isAnswered(answer) && answer.clock.count() > 0 && epoch == clock.epoch())
            clock.recordAnswer(sentAt, loop.now(), answer.clock);
        return answer.status == WorkerStatus::Done;
    }

    /// Handles the answer to an order; see applyAnswer(). Returns whether it is of another incarnation, which tells nothing of the known one's clock.
    bool applyOrderAnswer(const WorkerAnswer& answer, std::uint64_t epoch, Fence sent, Instant sentAt)
    {
        const bool isOther = isFromOther(answer, epoch, sentAt);
        applyAnswer(isOther ? WorkerAnswer { answer.status, answer.refusal, Ports::WorkerTime(0) } : answer, epoch, sent, sentAt);
        return isOther;
    }

    /// Whether an order of the current epoch was answered by another incarnation than that of the latest poll. If so, polls again to learn of it.
    bool isFromOther(const WorkerAnswer& answer, std::uint64_t epoch, Instant sentAt)
    {
        if (!isAnswered(answer) || answer.clock.count() == 0 || epoch != clock.epoch() || clock.isOfThisIncarnation(sentAt, loop.now(), answer.clock))
            return false;
        if (!std::exchange(isCheckingIncarnation, true)) {
            writeEvent("session", { "answered-by-other-incarnation", entry.id, { { "known", std::to_string(incarnation) }, { "clockMs", std::to_string(answer.clock.count()) }, { "lastAnswerAgeMs", std::to_string(ageOfLastAnswer().count()) } } });
            isPolling = false; // A poll that the earlier incarnation held would only time out.
            schedulePoll(milliseconds(0));
        }
        return true;
    }

    milliseconds ageOfLastAnswer() const { return std::chrono::duration_cast<milliseconds>(loop.now() - clock.lastAnswerAt()); }
    /// Time until the worker is certain to run nothing if it gets no more calls.
    milliseconds leaseRemaining() const { return std::chrono::ceil<milliseconds>(clock.lapsedAt() - loop.now()); }

    /// Progress of an order. It belongs to the epoch in which it was issued: once the worker has lapsed it is settled,
    /// regardless of later answers.
    struct Attempt {
        unsigned retries = 0;
        std::uint64_t epoch = 0;
        Instant since {};
        bool isReportedUnanswered = false; ///< Logged as "order-unanswered".
        bool mayHaveArrived = false; ///< An earlier attempt wasn't answered.
    };

    /// Identifies an order in the log.
    struct OrderLabel {
        const char* kind = "";
        TaskKey task;
        RunNumber run = 0;
    };

    Attempt firstAttempt() const { return { 0, clock.epoch(), loop.now() }; }

    /// Logs an order that expired, failed or waits for long: often the last event of its run.
    void logOrder(const char* event, const OrderLabel& name, const Attempt& attempt) const
    {
        const auto waited = std::chrono::duration_cast<milliseconds>(loop.now() - attempt.since);
        writeEvent("session", { event, name.task.job, { { "order", name.kind }, { "task", std::to_string(name.task.step) + "." + std::to_string(name.task.index) }, { "run", std::to_string(name.run) }, { "worker", entry.id }, { "tries", std::to_string(attempt.retries + 1) }, { "waitedMs", std::to_string(waited.count()) }, { "lastAnswerAgeMs", clock.isKnown() ? std::to_string(ageOfLastAnswer().count()) : "never" }, { "failedPolls", std::to_string(failedPolls) } } });
    }

    bool isSettled(const Attempt& attempt) const { return isClosed || attempt.epoch != clock.epoch(); }

    void start(const StartRun& run, const Attempt& attempt)
    {
        if (isSettled(attempt))
            return;
        // The order may have waited for the store for seconds, and its run may have been given up meanwhile.
        if (!hooks.needsStart(run)) {
            logOrder("order-obsolete", { "start", run.task, run.run }, attempt);
            return;
        }
        // A worker that doesn't answer polls may have restarted under its id: the start would run beside the task's next one.
        const bool mayHaveRestarted = failedPolls > 0 || isCheckingIncarnation;
        if (mayHaveRestarted && attempt.retries == 0)
            schedulePoll(milliseconds(0));
        if (mayHaveRestarted || !hooks.mayOrder()) {
            retry({ "start", run.task, run.run }, attempt, [run](State& self, const Attempt& next) { self.start(run, next); });
            return;
        }
        if (!hooks.mayStart(run)) {
            const WorkerAnswer refusal { WorkerStatus::Refused, WorkerRefusal::NoRoom, Ports::WorkerTime(0) };
            if (attempt.retries > 0)
                cancelStart(run, refusal, { 0, attempt.epoch, attempt.since, attempt.isReportedUnanswered });
            else
                hooks.onStartAnswered(run, refusal);
            return;
        }
        const Ports::StartOrder order { target(), run.task, run.run, run.payload, leaseForStart(), nextFence(), run.checkpoint, run.ticket };
        hooks.onStartSent(run);
        port.start(order, [self = shared_from_this(), run, attempt, sent = order.fence, sentAt = loop.now()](const WorkerAnswer& answer) {
            if (self->isClosed)
                return;
            const bool isOther = self->applyOrderAnswer(answer, attempt.epoch, sent, sentAt);
            if (self->isSettled(attempt))
                return;
            if (isOther && answer.status == WorkerStatus::Done)
                self->hooks.onStartedByOther(run);
            const bool isUncertain = answer.status == WorkerStatus::NoAnswer || (answer.status == WorkerStatus::NotSent && attempt.retries > 0);
            const bool isTooLate = answer.refusal == WorkerRefusal::LeaseExpired;
            if (answer.status == WorkerStatus::NoAnswer)
                self->hooks.onStartAnswered(run, answer);
            if (isUncertain || isTooLate || self->isOvertaken(answer, sent))
                self->retry({ "start", run.task, run.run }, attempt, [run](State& it, const Attempt& next) { it.start(run, next); });
            else if (attempt.retries > 0 && mayTakeEffectLate(answer))
                self->cancelStart(run, answer, { 0, attempt.epoch, attempt.since, attempt.isReportedUnanswered });
            else if (answer.refusal != WorkerRefusal::Fence)
                self->hooks.onStartAnswered(run, answer);
        });
    }

    /// A refusal settles only its own attempt: an earlier one without an answer may still be carried out.
    static bool mayTakeEffectLate(const WorkerAnswer& answer)
    {
        const bool isRefused = answer.status == WorkerStatus::Refused && answer.refusal != WorkerRefusal::StaleRun && answer.refusal != WorkerRefusal::Fence;
        return isRefused || answer.status == WorkerStatus::Unhealthy;
    }

    /// Stops the run, so that the worker refuses an earlier attempt of the start that arrives later.
    void cancelStart(const StartRun& run, const WorkerAnswer& refusal, const Attempt& attempt)
    {
        const auto sent = nextFence();
        port.stop({ target(), run.task, run.run, sent }, [self = shared_from_this(), run, refusal, attempt, sent, sentAt = loop.now()](const WorkerAnswer& answer) {
            if (self->isClosed)
                return;
            self->applyOrderAnswer(answer, attempt.epoch, sent, sentAt);
            if (self->isSettled(attempt))
                return;
            if (answer.status == WorkerStatus::Done)
                self->hooks.onStartCancelled(run, refusal);
            else if (answer.refusal != WorkerRefusal::Fence || self->isOvertaken(answer, sent))
                self->retry({ "cancel-start", run.task, run.run }, attempt, [run, refusal](State& it, const Attempt& next) { it.cancelStart(run, refusal, next); });
        });
    }

    void stop(const StopRun& run, Attempt attempt)
    {
        if (isSettled(attempt))
            return;
        const auto resend = [run](State& self, const Attempt& next) { self.stop(run, next); };
        if (!hooks.mayStop(run)) {
            if (attempt.mayHaveArrived)
                retry({ "stop", run.task, run.run }, attempt, resend);
            else
                hooks.onStopCancelled(run);
            return;
        }
        const auto sent = nextFence();
        port.stop({ target(), run.task, run.run, sent }, [self = shared_from_this(), run, attempt, resend, sent, sentAt = loop.now()](const WorkerAnswer& answer) mutable {
            if (self->isClosed)
                return;
            self->applyOrderAnswer(answer, attempt.epoch, sent, sentAt);
            if (self->isSettled(attempt))
                return;
            attempt.mayHaveArrived = attempt.mayHaveArrived || answer.status == WorkerStatus::NoAnswer;
            if (!isAnswered(answer) || self->isOvertaken(answer, sent))
                self->retry({ "stop", run.task, run.run }, attempt, resend);
            else if (answer.refusal != WorkerRefusal::Fence)
                self->onStopAnswer(run, attempt, answer);
        });
    }

    void onStopAnswer(const StopRun& run, const Attempt& attempt, const WorkerAnswer& answer)
    {
        if (answer.status != WorkerStatus::Done)
            logOrder("order-refused", { "stop", run.task, run.run }, attempt);
        hooks.onStopAnswer(run, answer);
    }

    void throttle(const ThrottleRun& run, const Attempt& attempt)
    {
        if (isSettled(attempt) || !hooks.needsThrottle(run))
            return;
        const auto sent = nextFence();
        port.throttle({ target(), run.task, run.run, run.percent, sent }, [self = shared_from_this(), run, attempt, sent](const WorkerAnswer& answer) {
            if (self->isSettled(attempt))
                return;
            const OrderLabel label { "throttle", run.task, run.run };
            if (!isAnswered(answer) || self->isOvertaken(answer, sent))
                self->retry(label, attempt, [run](State& it, const Attempt& next) { it.throttle(run, next); });
            else if (answer.status != WorkerStatus::Done)
                self->logOrder("order-refused", label, attempt);
        });
    }

    /// Retries until the worker answers or lapses: nothing else frees the resources that the order's run occupies.
    void retry(const OrderLabel& name, Attempt attempt, std::function<void(State&, const Attempt&)> resend)
    {
        if (!attempt.isReportedUnanswered && loop.now() - attempt.since > unansweredLimit) {
            logOrder("order-unanswered", name, attempt);
            attempt.isReportedUnanswered = true;
        }
        const auto delay = std::min(maximumRetryDelay, initialRetryDelay * (1 << std::min(attempt.retries, 4U)));
        loop.after(delay, [self = shared_from_this(), name, attempt, resend = std::move(resend)] {
            if (self->isClosed)
                return;
            if (self->isSettled(attempt))
                self->logOrder("order-expired", name, attempt);
            else
                resend(*self, { attempt.retries + 1, attempt.epoch, attempt.since, attempt.isReportedUnanswered, attempt.mayHaveArrived });
        });
    }

    Common::TaskLoop& loop;
    Ports::WorkerPort& port;
    SessionLimits limits;
    Fence fence; ///< The highest token that was used.
    bool isRaiseDue = false; ///< Calls to the current incarnation don't have a higher token than those to the earlier one yet.
    WorkerEntry entry;
    Hooks hooks;
    WorkerClock clock;
    std::uint64_t incarnation = 0;
    std::uint64_t acknowledgedEnds = 0; ///< Number of the newest end that is committed.
    std::uint64_t forgottenEnds = 0; ///< The newest of these numbers that the worker has received.
    unsigned failedPolls = 0; ///< Consecutive polls that failed.
    milliseconds pollLength { 0 }; ///< Time after which the poll in flight may have timed out.
    std::uint64_t lastPoll = 0; ///< Number of the newest poll; answers to earlier ones are ignored.
    bool isPolling = false;
    bool isGone = false; ///< Confirmed by the machine list since the last answer.
    bool isSilent = false; ///< Reported since the last answer.
    bool isCheckingIncarnation = false; ///< An order was answered by an incarnation that hasn't answered a poll.
    bool isClosed = false;
    Common::TaskLoop::TimerId pollTimer = 0;
    Common::TaskLoop::TimerId silentTimer = 0;
    Common::TaskLoop::TimerId lapseTimer = 0;
};

WorkerSession::WorkerSession(Common::TaskLoop& loop, Ports::WorkerPort& port, const SessionLimits& limits, Fence fence, const WorkerEntry& entry, Hooks hooks)
    : m_state(std::make_shared<State>(loop, port, limits, fence, entry, std::move(hooks)))
{
}

WorkerSession::~WorkerSession()
{
    auto& state = *m_state;
    state.isClosed = true;
    state.loop.cancel(state.pollTimer);
    state.loop.cancel(state.silentTimer);
    state.loop.cancel(state.lapseTimer);
}

void WorkerSession::begin()
{
    if (m_state->entry.address.empty())
        m_state->onPollFailed(false); // Known from the journal only: waits for its entry or its lapse.
    else
        m_state->sendPoll();
}

void WorkerSession::entryChanged(const WorkerEntry& entry)
{
    auto& state = *m_state;
    const bool isNew = state.entry.address != entry.address || state.entry.incarnation != entry.incarnation;
    state.entry = entry;
    if (!isNew)
        return;
    state.isGone = false;
    if (state.incarnation != 0 && entry.incarnation > state.incarnation) {
        state.beginIncarnation(entry.incarnation);
        state.isPolling = false; // A poll that the earlier incarnation held would only time out.
    }
    state.schedulePoll(milliseconds(0));
}

void WorkerSession::start(const StartRun& run) { m_state->start(run, m_state->firstAttempt()); }

void WorkerSession::stop(const StopRun& run) { m_state->stop(run, m_state->firstAttempt()); }

void WorkerSession::throttle(const ThrottleRun& run) { m_state->throttle(run, m_state->firstAttempt()); }

void WorkerSession::acknowledgeEnds(std::uint64_t incarnation, std::uint64_t number)
{
    auto& state = *m_state;
    if (incarnation != state.incarnation) {
        writeEvent("session", { "acknowledgement-obsolete", state.entry.id, { { "end", std::to_string(number) }, { "incarnation", std::to_string(incarnation) }, { "current", std::to_string(state.incarnation) } } });
        return;
    }
    state.acknowledgedEnds = std::max(state.acknowledgedEnds, number);
    if (!state.isPolling && state.failedPolls == 0)
        state.schedulePoll(milliseconds(0));
}

std::uint64_t WorkerSession::incarnation() const { return m_state->incarnation; }

void WorkerSession::confirmGone(WorkerLoss loss)
{
    auto& state = *m_state;
    if (state.failedPolls > 0)
        state.loop.cancel(state.lapseTimer);
    state.isGone = true;
    if (!state.isPolling)
        state.schedulePoll(pollRetryDelay(state.failedPolls, WorkerUse::Gone));
    state.onLapse(loss);
}

} // namespace Jobs
