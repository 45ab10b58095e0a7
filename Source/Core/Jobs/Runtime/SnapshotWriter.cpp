#include "Jobs/Runtime/SnapshotWriter.h"

#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/JournalLoader.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace Jobs {

struct SnapshotWriter::State : std::enable_shared_from_this<SnapshotWriter::State> {
    explicit State(Ports::PlatformPort& platformPort)
        : platform(platformPort)
    {
    }

    Ports::Transaction fencedTransaction() const
    {
        Ports::Transaction transaction;
        transaction.compares = { { ownerKey, static_cast<std::int64_t>(fence) } };
        return transaction;
    }

    void runNextStep()
    {
        if (steps.empty()) {
            isBusy = false;
            return;
        }
        auto step = std::move(steps.front());
        steps.pop_front();
        platform.transact(std::move(step), [self = shared_from_this()](const Ports::PlatformReply& reply) {
            if (reply.status == Ports::PlatformStatus::Ok) {
                self->runNextStep();
                return;
            }
            writeEvent("journal", { "snapshot-abandoned", self->pool, { { "status", std::to_string(static_cast<int>(reply.status)) } } });
            self->steps.clear();
            self->isBusy = false;
        });
    }

    void addDeletes(const std::vector<std::string>& keys)
    {
        for (std::size_t n = 0; n < keys.size(); n += StoreKeys::deletesPerCall) {
            auto transaction = fencedTransaction();
            const auto end = std::min(keys.size(), n + StoreKeys::deletesPerCall);
            transaction.deletes.assign(keys.begin() + static_cast<std::ptrdiff_t>(n), keys.begin() + static_cast<std::ptrdiff_t>(end));
            steps.push_back(std::move(transaction));
        }
    }

    Ports::PlatformPort& platform;
    std::string pool;
    std::string ownerKey;
    Fence fence = 0;
    std::deque<Ports::Transaction> steps;
    std::vector<std::string> oldParts; ///< Keys of the previous snapshot's parts.
    std::uint64_t deletedBefore = 1; ///< Segments before this one have been deleted or are about to be.
    bool isBusy = false;
};

SnapshotWriter::SnapshotWriter(Ports::PlatformPort& platform, std::string pool, std::string ownerKey, Fence fence)
    : m_state(std::make_shared<State>(platform))
{
    m_state->pool = std::move(pool);
    m_state->ownerKey = std::move(ownerKey);
    m_state->fence = fence;
}

void SnapshotWriter::inherit(std::uint64_t oldestSegment, std::vector<std::string> snapshotKeys)
{
    m_state->deletedBefore = std::max<std::uint64_t>(1, oldestSegment);
    m_state->oldParts = std::move(snapshotKeys);
}

void SnapshotWriter::write(const std::vector<JobRecord>& records, std::uint64_t firstSegment)
{
    auto& state = *m_state;
    state.isBusy = true;
    std::string text;
    for (const auto& it : records)
        appendRecord(text, it);
    JournalHead head { firstSegment, 0 };
    std::vector<std::string> parts;
    for (std::size_t n = 0; n < text.size() || parts.empty(); n += StoreKeys::valueBytes) {
        auto transaction = state.fencedTransaction();
        const auto key = snapshotPrefix(state.pool, firstSegment) + StoreKeys::numberText(head.parts++);
        transaction.puts = { { key, text.substr(n, StoreKeys::valueBytes), 0 } };
        state.steps.push_back(std::move(transaction));
        parts.push_back(key);
    }
    auto headUpdate = state.fencedTransaction();
    headUpdate.puts = { { StoreKeys::heads + state.pool, formatHead(head), 0 } };
    state.steps.push_back(std::move(headUpdate));
    std::vector<std::string> segments;
    for (auto n = state.deletedBefore; n < firstSegment; ++n)
        segments.push_back(StoreKeys::journals + state.pool + '/' + StoreKeys::numberText(n));
    state.addDeletes(segments);
    state.addDeletes(std::exchange(state.oldParts, std::move(parts)));
    state.deletedBefore = firstSegment;
    writeEvent("journal", { "snapshot", state.pool, { { "segment", std::to_string(firstSegment) }, { "records", std::to_string(records.size()) }, { "bytes", std::to_string(text.size()) } } });
    state.runNextStep();
}

bool SnapshotWriter::isBusy() const { return m_state->isBusy; }

} // namespace Jobs
