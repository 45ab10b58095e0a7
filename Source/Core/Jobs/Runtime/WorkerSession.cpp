#include "Jobs/Runtime/WorkerSession.h"

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

    constexpr milliseconds firstRetry { 60 }; ///< A lost answer costs little; the worker answers in a few milliseconds.
    constexpr milliseconds longestRetry { 1000 }; ///< Each try of a look and each new connection is paid for.
    constexpr milliseconds storeWait { 300 }; ///< For ends to be stored before a look that takes none is sent.
    constexpr milliseconds unansweredLimit { 3000 }; ///< Of an order; twice the time of a try, and the pauses between the first ones.

} // namespace

struct WorkerSession::State : std::enable_shared_from_this<WorkerSession::State> {
    State(Common::TaskLoop& taskLoop, Ports::WorkerPort& workerPort, const SessionLimits& given, Fence ownFence, const WorkerEntry& workerEntry, Hooks sessionHooks)
        : loop(taskLoop)
        , port(workerPort)
        , limits(given)
        , fence(ownFence)
        , entry(workerEntry)
        , hooks(std::move(sessionHooks))
        , clock(taskLoop.now() + given.takeoverLapse, given.leaseTime)
    {
    }

    Ports::WorkerTarget target() const { return { entry.id, entry.address }; }

    /// Until when the lease is to last, on the worker's clock; zero while that isn't known or the owner mustn't extend it.
    /// A silent worker's lease isn't extended: any try may have reached it, and its lapse would never come.
    Ports::WorkerTime leaseUntil()
    {
        if (!clock.isKnown() || failures > 0 || !hooks.mayExtend())
            return Ports::WorkerTime(0);
        return clock.leaseUntil(loop.now(), limits.leaseTime);
    }

    /// A start has to name a lease: the one that stands, where it isn't to be extended.
    Ports::WorkerTime leaseOfStart()
    {
        const auto until = leaseUntil();
        return until.count() > 0 ? until : clock.latestLease();
    }

    void poll()
    {
        if (isOver || isLooking || entry.address.empty())
            return;
        isLooking = true;
        loop.cancel(lookTimer);
        Ports::PollOrder order { target(), fence, acknowledgedThrough, leaseUntil(), milliseconds(0) };
        // The first look, and one after silence, are to tell at once whether the worker is there.
        if (clock.isKnown() && failures == 0)
            order.wait = hooks.needsCloseLook() ? limits.closeLookWait : limits.lookWait;
        const auto sentAt = loop.now();
        port.poll(order, [self = shared_from_this(), sentAt](const Ports::PollAnswer& answer) {
            self->isLooking = false;
            if (!self->isOver)
                self->lookAnswered(answer, sentAt);
        });
    }

    void lookAnswered(const Ports::PollAnswer& poll, Instant sentAt)
    {
        if (poll.incarnation != 0 && poll.incarnation != incarnation) {
            if (incarnation != 0)
                clock.forget(loop.now()); // Its clock, ends and runs begin anew.
            acknowledgedThrough = 0;
            incarnation = poll.incarnation;
        }
        if (!take(poll.answer)) {
            lookFailed();
            return;
        }
        failures = 0;
        loop.cancel(silenceTimer);
        loop.cancel(lapseTimer);
        std::uint64_t newest = acknowledgedThrough;
        for (const auto& it : poll.ended)
            newest = std::max(newest, it.number);
        hooks.looked(poll, sentAt);
        if (isOver)
            return;
        // With ends it comes as soon as those are stored.
        lookAfter(newest == acknowledgedThrough ? milliseconds(0) : storeWait);
    }

    void lookAfter(milliseconds delay)
    {
        loop.cancel(lookTimer);
        lookTimer = loop.after(delay, [self = shared_from_this()] { self->poll(); });
    }

    void lookFailed()
    {
        if (failures++ == 0) {
            silenceTimer = loop.after(limits.silence, [self = shared_from_this()] { self->isOver ? void() : self->hooks.silent(); });
            waitForLapse();
        }
        lookAfter(std::min(longestRetry, firstRetry * (1 << std::min(failures, 5U))));
    }

    void waitForLapse()
    {
        const auto left = std::chrono::ceil<milliseconds>(clock.lapsedAt() - loop.now());
        lapseTimer = loop.after(std::max(milliseconds(1), left), [self = shared_from_this()] {
            if (self->isOver || self->failures == 0)
                return;
            // Orders sent meanwhile may have put the lapse off.
            if (self->clock.lapsedAt() > self->loop.now())
                self->waitForLapse();
            else
                self->lapsed();
        });
    }

    void lapsed()
    {
        const auto heardBefore = std::chrono::duration_cast<milliseconds>(loop.now() - clock.heardAt());
        writeEvent("session", { "lease-lapsed", entry.id, { { "known", clock.isKnown() ? "yes" : "no" }, { "latestLeaseMs", std::to_string(clock.latestLease().count()) }, { "heardBeforeMs", std::to_string(heardBefore.count()) }, { "failedLooks", std::to_string(failures) } } });
        clock.forget(loop.now());
        hooks.lapsed();
    }

    /// Takes what every answer tells; false when it wasn't one of this worker that counts.
    bool take(const WorkerAnswer& answer)
    {
        if (answer.refusal == WorkerRefusal::Fence) {
            const auto fenced = hooks.fenced;
            fenced();
            return false;
        }
        const bool isAnswer = answer.status == WorkerStatus::Done || answer.status == WorkerStatus::Refused;
        if (isAnswer && answer.clock.count() > 0)
            clock.heard(loop.now(), answer.clock);
        return answer.status == WorkerStatus::Done;
    }

    /// An order belongs to the epoch in which it was given: the worker's lapse settles it, whatever answer comes after.
    struct Attempt {
        unsigned tries = 0;
        std::uint64_t epoch = 0;
        Instant since {};
        bool isReported = false; ///< As waiting for long.
        bool mayHaveArrived = false; ///< By an earlier try.
    };

    /// What an order is about, for the log.
    struct OrderName {
        const char* kind = "";
        TaskKey task;
        RunNumber run = 0;
    };

    Attempt firstAttempt() const { return { 0, clock.epoch(), loop.now() }; }

    /// An order that is dropped, or not answered for long, is the last that is heard of its run unless the worker tells more.
    void logOrder(const char* event, const OrderName& name, const Attempt& attempt) const
    {
        const auto waited = std::chrono::duration_cast<milliseconds>(loop.now() - attempt.since);
        const auto heardBefore = std::chrono::duration_cast<milliseconds>(loop.now() - clock.heardAt());
        writeEvent("session", { event, name.task.job, { { "order", name.kind }, { "task", std::to_string(name.task.step) + "." + std::to_string(name.task.index) }, { "run", std::to_string(name.run) }, { "worker", entry.id }, { "tries", std::to_string(attempt.tries + 1) }, { "waitedMs", std::to_string(waited.count()) }, { "heardBeforeMs", clock.isKnown() ? std::to_string(heardBefore.count()) : "never" }, { "failedLooks", std::to_string(failures) } } });
    }

    bool isSettled(const Attempt& attempt) const { return isOver || attempt.epoch != clock.epoch(); }

    void start(const StartRun& run, const Attempt& attempt)
    {
        if (isSettled(attempt))
            return;
        if (!hooks.mayOrder()) {
            retry({ "start", run.task, run.run }, attempt, [run](State& self, const Attempt& next) { self.start(run, next); });
            return;
        }
        const Ports::StartOrder order { target(), run.task, run.run, run.payload, leaseOfStart(), fence, run.checkpoint, run.ticket };
        port.start(order, [self = shared_from_this(), run, attempt](const WorkerAnswer& answer) {
            if (self->isOver)
                return;
            self->take(answer);
            if (self->isSettled(attempt))
                return;
            const bool isUnsure = answer.status == WorkerStatus::NoAnswer || (answer.status == WorkerStatus::NotSent && attempt.tries > 0);
            const bool isTooLate = answer.refusal == WorkerRefusal::LeaseExpired;
            if (isUnsure || isTooLate)
                self->retry({ "start", run.task, run.run }, attempt, [run](State& it, const Attempt& next) { it.start(run, next); });
            else if (attempt.tries > 0 && mayComeLate(answer))
                self->voidStart(run, answer, { 0, attempt.epoch, attempt.since, attempt.isReported });
            else if (answer.refusal != WorkerRefusal::Fence)
                self->hooks.startAnswered(run, answer);
        });
    }

    /// A refusal settles only its own try: an earlier one without an answer may still be carried out.
    static bool mayComeLate(const WorkerAnswer& answer)
    {
        const bool isRefused = answer.status == WorkerStatus::Refused && answer.refusal != WorkerRefusal::StaleRun && answer.refusal != WorkerRefusal::Fence;
        return isRefused || answer.status == WorkerStatus::Unhealthy;
    }

    /// A stopped run is refused when its start comes.
    void voidStart(const StartRun& run, const WorkerAnswer& refusal, const Attempt& attempt)
    {
        port.stop({ target(), run.task, run.run, fence }, [self = shared_from_this(), run, refusal, attempt](const WorkerAnswer& answer) {
            if (self->isOver)
                return;
            self->take(answer);
            if (self->isSettled(attempt))
                return;
            if (answer.status == WorkerStatus::Done)
                self->hooks.startAnswered(run, refusal);
            else if (answer.refusal != WorkerRefusal::Fence)
                self->retry({ "void-start", run.task, run.run }, attempt, [run, refusal](State& it, const Attempt& next) { it.voidStart(run, refusal, next); });
        });
    }

    void stop(const StopRun& run, Attempt attempt)
    {
        if (isSettled(attempt))
            return;
        const auto again = [run](State& self, const Attempt& next) { self.stop(run, next); };
        if (!hooks.mayStop(run)) {
            if (attempt.mayHaveArrived)
                retry({ "stop", run.task, run.run }, attempt, again);
            else
                hooks.stopWithdrawn(run);
            return;
        }
        port.stop({ target(), run.task, run.run, fence }, [self = shared_from_this(), run, attempt, again](const WorkerAnswer& answer) mutable {
            if (self->isOver)
                return;
            self->take(answer);
            if (self->isSettled(attempt))
                return;
            attempt.mayHaveArrived = attempt.mayHaveArrived || answer.status == WorkerStatus::NoAnswer;
            const bool isUnsure = answer.status != WorkerStatus::Done && answer.status != WorkerStatus::Refused;
            if (isUnsure)
                self->retry({ "stop", run.task, run.run }, attempt, again);
            else if (answer.refusal != WorkerRefusal::Fence)
                self->stopAnswered(run, attempt, answer);
        });
    }

    void stopAnswered(const StopRun& run, const Attempt& attempt, const WorkerAnswer& answer)
    {
        if (answer.status != WorkerStatus::Done)
            logOrder("order-refused", { "stop", run.task, run.run }, attempt);
        hooks.stopAnswered(run, answer);
    }

    /// Tries again until the worker is given up: nothing but an answer or that frees what the order's run occupies.
    void retry(const OrderName& name, Attempt attempt, std::function<void(State&, const Attempt&)> again)
    {
        if (!attempt.isReported && loop.now() - attempt.since > unansweredLimit) {
            logOrder("order-unanswered", name, attempt);
            attempt.isReported = true;
        }
        const auto delay = std::min(longestRetry, firstRetry * (1 << std::min(attempt.tries, 4U)));
        loop.after(delay, [self = shared_from_this(), name, attempt, again = std::move(again)] {
            if (self->isOver)
                return;
            if (self->isSettled(attempt))
                self->logOrder("order-void", name, attempt);
            else
                again(*self, { attempt.tries + 1, attempt.epoch, attempt.since, attempt.isReported, attempt.mayHaveArrived });
        });
    }

    Common::TaskLoop& loop;
    Ports::WorkerPort& port;
    SessionLimits limits;
    Fence fence;
    WorkerEntry entry;
    Hooks hooks;
    WorkerClock clock;
    std::uint64_t incarnation = 0;
    std::uint64_t acknowledgedThrough = 0; ///< Newest end that is stored.
    unsigned failures = 0; ///< Looks in a row without an answer.
    bool isLooking = false;
    bool isOver = false;
    Common::TaskLoop::TimerId lookTimer = 0;
    Common::TaskLoop::TimerId silenceTimer = 0;
    Common::TaskLoop::TimerId lapseTimer = 0;
};

WorkerSession::WorkerSession(Common::TaskLoop& loop, Ports::WorkerPort& port, const SessionLimits& limits, Fence fence, const WorkerEntry& entry, Hooks hooks)
    : m_state(std::make_shared<State>(loop, port, limits, fence, entry, std::move(hooks)))
{
}

WorkerSession::~WorkerSession()
{
    auto& state = *m_state;
    state.isOver = true;
    state.loop.cancel(state.lookTimer);
    state.loop.cancel(state.silenceTimer);
    state.loop.cancel(state.lapseTimer);
}

void WorkerSession::begin()
{
    if (m_state->entry.address.empty())
        m_state->lookFailed(); // Known from the journal only: wait for its entry or its lapse.
    else
        m_state->poll();
}

void WorkerSession::entryChanged(const WorkerEntry& entry)
{
    auto& state = *m_state;
    const bool isNew = state.entry.address != entry.address || state.entry.incarnation != entry.incarnation;
    state.entry = entry;
    if (isNew)
        state.lookAfter(milliseconds(0));
}

void WorkerSession::start(const StartRun& run) { m_state->start(run, m_state->firstAttempt()); }

void WorkerSession::stop(const StopRun& run) { m_state->stop(run, m_state->firstAttempt()); }

void WorkerSession::throttle(const ThrottleRun& run)
{
    auto& state = *m_state;
    state.port.throttle({ state.target(), run.task, run.run, run.percent, state.fence }, [self = m_state, run](const WorkerAnswer& answer) {
        if (self->isOver || answer.status == WorkerStatus::Done)
            return;
        self->retry({ "throttle", run.task, run.run }, self->firstAttempt(), [self, run](State& it, const State::Attempt& attempt) {
            it.port.throttle({ it.target(), run.task, run.run, run.percent, it.fence }, [self, run, attempt](const WorkerAnswer& again) {
                if (!self->isOver && again.status != WorkerStatus::Done)
                    self->logOrder("order-given-up", { "throttle", run.task, run.run }, attempt);
            });
        });
    });
}

void WorkerSession::endsStored(std::uint64_t number)
{
    auto& state = *m_state;
    state.acknowledgedThrough = std::max(state.acknowledgedThrough, number);
    if (!state.isLooking && state.failures == 0)
        state.lookAfter(milliseconds(0));
}

void WorkerSession::confirmGone()
{
    if (m_state->failures > 0)
        m_state->loop.cancel(m_state->lapseTimer);
    m_state->lapsed();
}

} // namespace Jobs
