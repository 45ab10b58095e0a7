#include "Jobs/Runtime/Journal.h"

#include "Jobs/Runtime/EventLimiter.h"
#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/JournalLoader.h"
#include "Jobs/Runtime/SnapshotWriter.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <algorithm>
#include <deque>
#include <numeric>
#include <optional>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds retryDelay { 60 }; ///< After a commit that failed or timed out; the store usually answers in a few milliseconds.

} // namespace

struct Journal::State : std::enable_shared_from_this<Journal::State> {
    struct Batch {
        std::string records;
        std::string tallies; ///< Records of TaskSuspected. Stored after the others: versions that don't know them stop reading there.
        std::string evidence; ///< See isEvidence(). Stored last for the same reason.

        std::string text() const { return records + tallies + evidence; }
        std::size_t size() const { return records.size() + tallies.size() + evidence.size(); }
        std::string& textFor(const JobRecord& record)
        {
            if (isEvidence(record))
                return evidence;
            return std::holds_alternative<TaskSuspected>(record) ? tallies : records;
        }
        std::vector<Effect> effects;
    };

    State(Common::TaskLoop& taskLoop, Ports::PlatformPort& platformPort, JournalSettings journalSettings, Hooks journalHooks)
        : loop(taskLoop)
        , platform(platformPort)
        , settings(std::move(journalSettings))
        , hooks(std::move(journalHooks))
    {
    }

    std::string segmentKey(std::uint64_t number) const
    {
        return StoreKeys::journals + settings.pool + '/' + StoreKeys::numberText(number);
    }

    void schedule()
    {
        if (inFlight || isScheduled || waiting.empty())
            return;
        isScheduled = true;
        const auto sinceLast = std::chrono::duration_cast<milliseconds>(loop.now() - lastCommit);
        const auto delay = std::max(milliseconds(0), settings.commitInterval - sinceLast);
        timer = loop.after(delay, [self = shared_from_this()] {
            self->isScheduled = false;
            self->commit();
        });
    }

    void commit()
    {
        if (isOver || inFlight || waiting.empty())
            return;
        inFlight = std::move(waiting.front());
        waiting.pop_front();
        // The fence makes the segment's text unique to this owner. By it, resolveCommit() recognizes a commit that was
        // carried out.
        segment = std::to_string(settings.fence) + '\n' + inFlight->text();
        lastCommit = loop.now();
        // A snapshot covers the state up to this segment: it mustn't contain records that wait for a later one.
        if (waiting.empty() && nextSegment - snapshotSegment >= settings.segmentsPerSnapshot && !snapshots.isBusy())
            snapshotRecords = hooks.snapshot();
        send();
    }

    void send()
    {
        Ports::Transaction transaction;
        transaction.compares = { { settings.ownerKey, static_cast<std::int64_t>(settings.fence) }, { segmentKey(nextSegment), 0 } };
        transaction.puts = { { segmentKey(nextSegment), segment, 0 } };
        if (hooks.sent)
            hooks.sent();
        platform.transact(std::move(transaction), [self = shared_from_this()](const Ports::PlatformReply& reply) { self->handleReply(reply); });
    }

    void handleReply(const Ports::PlatformReply& reply)
    {
        if (isOver)
            return;
        const bool isAnswered = reply.status == Ports::PlatformStatus::Ok || reply.status == Ports::PlatformStatus::ComparesFailed;
        if (isAnswered && hooks.answered)
            hooks.answered();
        if (reply.status == Ports::PlatformStatus::Ok)
            finishCommit(reply.revision);
        else if (reply.status == Ports::PlatformStatus::ComparesFailed)
            resolveCommit();
        else
            retryLater("commit-failed", reply.status, &State::send);
    }

    void retryLater(const char* event, Ports::PlatformStatus status, void (State::*step)())
    {
        const auto stalled = std::chrono::duration_cast<milliseconds>(loop.now() - lastCommit);
        limiter.write({ event, settings.pool, { { "segment", std::to_string(nextSegment) }, { "status", std::to_string(static_cast<int>(status)) }, { "stalledMs", std::to_string(stalled.count()) }, { "effects", std::to_string(inFlight->effects.size()) }, { "waiting", std::to_string(waitingEffects()) } } }, loop.now());
        timer = loop.after(retryDelay, [self = shared_from_this(), step] { self->isOver ? void() : (self.get()->*step)(); });
    }

    std::size_t waitingEffects() const
    {
        return std::accumulate(waiting.begin(), waiting.end(), std::size_t { 0 }, [](std::size_t sum, const Batch& it) { return sum + it.effects.size(); });
    }

    /// After a failed compare: the segment exists or the owner key has changed. If the segment is this owner's, an earlier
    /// attempt was carried out; otherwise this owner is deposed.
    void resolveCommit()
    {
        platform.read(segmentKey(nextSegment), false, [self = shared_from_this()](const Ports::PlatformReply& reply) {
            if (self->isOver)
                return;
            if (reply.status != Ports::PlatformStatus::Ok) {
                self->retryLater("settle-failed", reply.status, &State::resolveCommit);
                return;
            }
            const bool isOwn = !reply.values.empty() && reply.values.front().value == self->segment;
            writeEvent("journal", { "commit-settled", self->settings.pool, { { "segment", std::to_string(self->nextSegment) }, { "stored", isOwn ? "own" : (reply.values.empty() ? "none" : "other") } } });
            if (isOwn)
                self->finishCommit(reply.values.front().modRevision);
            else
                self->depose();
        });
    }

    /// Starts another segment once the last one is full, as the store rejects values that are too long.
    void append(const std::vector<JobRecord>& records)
    {
        for (const auto& it : records) {
            if (waiting.empty() || waiting.back().size() >= StoreKeys::valueBytes)
                waiting.emplace_back();
            appendRecord(waiting.back().textFor(it), it);
        }
    }

    void finishCommit(std::int64_t revision)
    {
        ++nextSegment;
        newestRevision = std::max(newestRevision, static_cast<Fence>(revision));
        const auto effects = std::move(inFlight->effects);
        inFlight.reset();
        if (hooks.committed)
            hooks.committed(std::chrono::duration_cast<milliseconds>(loop.now() - lastCommit));
        if (!snapshotRecords.empty()) {
            snapshotSegment = nextSegment;
            snapshots.write(std::exchange(snapshotRecords, {}), nextSegment);
        }
        for (const auto& it : effects) {
            if (isOver)
                return;
            it();
        }
        schedule();
    }

    void depose()
    {
        isOver = true;
        if (const auto deposed = hooks.deposed)
            deposed();
    }

    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    JournalSettings settings;
    Hooks hooks;
    EventLimiter limiter { "journal" };
    SnapshotWriter snapshots { platform, settings.pool, settings.ownerKey, settings.fence };
    std::deque<Batch> waiting;
    std::optional<Batch> inFlight;
    std::string segment; ///< Value of the segment in flight.
    std::vector<JobRecord> snapshotRecords; ///< State as of the segment in flight.
    Fence newestRevision = settings.fence;
    std::uint64_t nextSegment = 1;
    std::uint64_t snapshotSegment = 1; ///< First segment that the newest snapshot doesn't cover.
    Common::Instant lastCommit {};
    Common::TaskLoop::TimerId timer = 0;
    bool isScheduled = false;
    bool isOver = false;
};

Journal::Journal(Common::TaskLoop& loop, Ports::PlatformPort& platform, JournalSettings settings, Hooks hooks)
    : m_state(std::make_shared<State>(loop, platform, std::move(settings), std::move(hooks)))
{
}

Journal::~Journal()
{
    m_state->isOver = true;
    m_state->loop.cancel(m_state->timer);
    m_state->hooks = {};
    // Pending effects are destroyed now, not when the last call in flight ends: that answers their callers at once with an
    // unknown outcome.
    m_state->waiting = {};
    m_state->inFlight.reset();
}

void Journal::load(LoadCallback callback)
{
    const auto state = m_state;
    const auto loader = std::make_shared<JournalLoader>(state->loop, state->platform, state->settings.pool);
    loader->load([state, callback = std::move(callback)](JournalContents contents) {
        if (state->isOver)
            return;
        state->nextSegment = contents.nextSegment;
        state->snapshotSegment = contents.firstSegment;
        state->snapshots.inherit(contents.oldestSegment, std::move(contents.snapshotKeys));
        callback(contents.records);
    });
}

void Journal::append(const std::vector<JobRecord>& records, Effect effect)
{
    auto& state = *m_state;
    if (state.isOver)
        return;
    state.append(records);
    if (!state.waiting.empty())
        state.waiting.back().effects.push_back(std::move(effect));
    else if (state.inFlight)
        state.inFlight->effects.push_back(std::move(effect));
    else
        effect();
    state.schedule();
}

milliseconds Journal::stalledFor() const
{
    if (!m_state->inFlight)
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(m_state->loop.now() - m_state->lastCommit);
}

Fence Journal::newestRevision() const { return m_state->newestRevision; }

bool Journal::isIdle() const { return !m_state->inFlight && m_state->waiting.empty(); }

} // namespace Jobs
