#include "Jobs/Runtime/ForecastStore.h"

#include "Jobs/Fleet/PeakRecord.h"
#include "Jobs/Runtime/EventLimiter.h"
#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/FleetReport.h"
#include "Jobs/Runtime/JobNodeState.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <algorithm>
#include <utility>

namespace Jobs {

using Ports::PlatformStatus;

namespace {

    constexpr milliseconds retryDelay { 400 };

} // namespace

struct ForecastStore::State : std::enable_shared_from_this<ForecastStore::State> {
    State(ForecastContext storeContext, Fence ownFence)
        : context(std::move(storeContext))
        , fence(ownFence)
    {
    }

    Common::Moment moment() const { return { context.loop.now(), context.loop.wallNow() }; }

    void logFailed(const char* what, PlatformStatus status)
    {
        limiter.write({ what, context.holder, { { "fence", std::to_string(fence) }, { "status", std::to_string(static_cast<int>(status)) } } }, context.loop.now());
    }

    void read()
    {
        context.platform.read(StoreKeys::forecast, false, [self = weak_from_this()](const Ports::PlatformReply& reply) {
            const auto state = self.lock();
            if (!state)
                return;
            // An answer from before this host acquired the duty could lack the newest peak.
            if (reply.status == PlatformStatus::Ok && static_cast<Fence>(reply.revision) >= state->fence) {
                state->inherit(reply.values);
                return;
            }
            state->logFailed("forecast-read-failed", reply.status);
            state->context.loop.after(retryDelay, [self] {
                if (const auto it = self.lock())
                    it->read();
            });
        });
    }

    void inherit(const std::vector<Ports::KeyValue>& values)
    {
        isRead = true;
        if (!values.empty()) {
            const auto record = parsePeaks(values.front().value, moment());
            if (record.peaks.empty())
                writeEvent("fleet", { "forecast-left-out", context.holder, { { "reason", record.fault } } });
            else
                writeEvent("fleet", { "forecast-inherited", context.holder, { { "fence", std::to_string(fence) }, { "peaks", std::to_string(record.peaks.size()) } } });
            context.forecast.inherit(record.peaks, context.loop.now());
        }
        if (hasChanged)
            write();
    }

    void update()
    {
        const auto now = context.loop.now();
        for (const auto& it : context.forecast.takeEvents(now)) {
            writeEvent("fleet", describePeak(it, now));
            hasChanged = hasChanged || it.kind == PeakEvent::Kind::Started;
            if (it.error && context.onForecastError)
                context.onForecastError(*it.error);
        }
        // Before the record is read, a write would replace what isn't known here.
        if (hasChanged && isRead && !isWriting)
            write();
    }

    void write()
    {
        isWriting = true;
        hasChanged = false;
        Ports::Transaction transaction;
        transaction.compares = { { Ownership::keyOf(fleetDuty), static_cast<std::int64_t>(fence) } };
        transaction.puts = { { StoreKeys::forecast, formatPeaks(context.forecast.peaks(), moment()), 0 } };
        context.platform.transact(std::move(transaction), [self = weak_from_this()](const Ports::PlatformReply& reply) {
            if (const auto state = self.lock())
                state->onWritten(reply.status);
        });
    }

    void onWritten(PlatformStatus status)
    {
        if (status != PlatformStatus::Ok)
            logFailed("forecast-write-failed", status);
        if (status == PlatformStatus::ComparesFailed) // Another host has the duty.
            return;
        if (status == PlatformStatus::Ok) {
            isWriting = false;
            if (hasChanged)
                write();
            return;
        }
        context.loop.after(retryDelay, [self = weak_from_this()] {
            if (const auto state = self.lock())
                state->write();
        });
    }

    ForecastContext context;
    Fence fence;
    EventLimiter limiter { "fleet" };
    bool isRead = false;
    bool hasChanged = false; ///< A peak has started since the newest write began.
    bool isWriting = false; ///< Also while a write waits to be repeated, and after the duty was lost.
};

ForecastStore::ForecastStore(ForecastContext context, Fence fence)
    : m_state(std::make_shared<State>(std::move(context), fence))
{
}

ForecastStore::~ForecastStore() = default;

void ForecastStore::begin() { m_state->read(); }

void ForecastStore::update() { m_state->update(); }

} // namespace Jobs
