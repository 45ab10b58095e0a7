#include "Jobs/Runtime/PrefixFeed.h"

#include "Jobs/Runtime/EventLimiter.h"
#include "Jobs/Runtime/Events.h"

#include <utility>

namespace Jobs {

namespace {

    constexpr std::chrono::milliseconds rereadDelay { 300 }; ///< Limits the load to a few calls a second while the store is unavailable.

} // namespace

struct PrefixFeed::State : std::enable_shared_from_this<PrefixFeed::State> {
    State(Common::TaskLoop& taskLoop, Ports::PlatformPort& platformPort, std::string keyPrefix, Hooks feedHooks)
        : loop(taskLoop)
        , platform(platformPort)
        , prefix(std::move(keyPrefix))
        , hooks(std::move(feedHooks))
    {
    }

    void read()
    {
        platform.read(prefix, true, [self = shared_from_this()](const Ports::PlatformReply& reply) {
            if (self->isOver)
                return;
            if (reply.status == Ports::PlatformStatus::Ok)
                self->applyRead(reply);
            else
                self->scheduleReread("read-failed");
        });
    }

    void scheduleReread(const char* reason)
    {
        if (std::exchange(isSynced, false))
            brokenAt = loop.now();
        limiter.write({ "feed-broken", prefix, { { "reason", reason }, { "keys", std::to_string(revisions.size()) } } }, loop.now());
        if (hooks.broken)
            hooks.broken();
        timer = loop.after(rereadDelay, [self = shared_from_this()] { self->read(); });
    }

    void applyRead(const Ports::PlatformReply& reply)
    {
        std::map<std::string, std::int64_t> current;
        for (const auto& it : reply.values)
            current[it.key] = it.modRevision;
        for (auto it = revisions.begin(); it != revisions.end();) {
            const auto key = it->first;
            it = current.contains(key) ? std::next(it) : revisions.erase(it);
            if (!current.contains(key))
                hooks.removed(key);
        }
        for (const auto& it : reply.values)
            applyChange(it);
        isSynced = true;
        const bool isResync = std::exchange(wasSynced, true);
        const auto outage = std::chrono::duration_cast<std::chrono::milliseconds>(loop.now() - brokenAt);
        writeEvent("feed", { "feed-synced", prefix, { { "keys", std::to_string(revisions.size()) }, { "revision", std::to_string(reply.revision) }, { "outageMs", isResync ? std::to_string(outage.count()) : "0" } } });
        if (hooks.synced)
            hooks.synced(isResync);
        watch(reply.revision + 1);
    }

    void applyChange(const Ports::KeyValue& pair)
    {
        auto& revision = revisions[pair.key];
        if (revision >= pair.modRevision)
            return;
        revision = pair.modRevision;
        hooks.changed(pair);
    }

    void watch(std::int64_t fromRevision)
    {
        platform.watch(prefix, fromRevision, [self = shared_from_this()](const std::vector<Ports::WatchEvent>& events, bool broken) {
            if (self->isOver)
                return;
            for (const auto& it : events) {
                if (!it.deleted)
                    self->applyChange(it.pair);
                else if (self->revisions.erase(it.pair.key) > 0)
                    self->hooks.removed(it.pair.key);
            }
            if (broken)
                self->scheduleReread("watch-broken");
        });
    }

    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    std::string prefix;
    Hooks hooks;
    EventLimiter limiter { "feed" };
    Common::Instant brokenAt {};
    std::map<std::string, std::int64_t> revisions; ///< Revision of each key that exists.
    Common::TaskLoop::TimerId timer = 0;
    bool isSynced = false;
    bool wasSynced = false;
    bool isOver = false;
};

PrefixFeed::PrefixFeed(Common::TaskLoop& loop, Ports::PlatformPort& platform, std::string prefix, Hooks hooks)
    : m_state(std::make_shared<State>(loop, platform, std::move(prefix), std::move(hooks)))
{
}

PrefixFeed::~PrefixFeed()
{
    m_state->isOver = true;
    m_state->loop.cancel(m_state->timer);
    m_state->hooks = {};
}

void PrefixFeed::start() { m_state->read(); }

bool PrefixFeed::isSynced() const { return m_state->isSynced; }

} // namespace Jobs
