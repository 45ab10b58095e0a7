#include "Jobs/Runtime/PrefixFeed.h"

#include "Jobs/Runtime/EventLimiter.h"
#include "Jobs/Runtime/Events.h"

#include <utility>

namespace Jobs {

namespace {

    constexpr std::chrono::milliseconds rereadDelay { 300 }; ///< Between failed reads: a few calls a second while the store is away.

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
                self->take(reply);
            else
                self->readLater("read-failed");
        });
    }

    void readLater(const char* reason)
    {
        if (std::exchange(isSynced, false))
            brokenAt = loop.now();
        limiter.write({ "feed-broken", prefix, { { "reason", reason }, { "keys", std::to_string(revisions.size()) } } }, loop.now());
        if (hooks.broken)
            hooks.broken();
        timer = loop.after(rereadDelay, [self = shared_from_this()] { self->read(); });
    }

    void take(const Ports::PlatformReply& reply)
    {
        std::map<std::string, std::int64_t> fresh;
        for (const auto& it : reply.values)
            fresh[it.key] = it.modRevision;
        for (auto it = revisions.begin(); it != revisions.end();) {
            const auto key = it->first;
            it = fresh.contains(key) ? std::next(it) : revisions.erase(it);
            if (!fresh.contains(key))
                hooks.removed(key);
        }
        for (const auto& it : reply.values)
            change(it);
        isSynced = true;
        const bool isAgain = std::exchange(wasSynced, true);
        const auto away = std::chrono::duration_cast<std::chrono::milliseconds>(loop.now() - brokenAt);
        writeEvent("feed", { "feed-synced", prefix, { { "keys", std::to_string(revisions.size()) }, { "revision", std::to_string(reply.revision) }, { "outageMs", isAgain ? std::to_string(away.count()) : "0" } } });
        if (hooks.synced)
            hooks.synced(isAgain);
        watch(reply.revision + 1);
    }

    void change(const Ports::KeyValue& pair)
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
                    self->change(it.pair);
                else if (self->revisions.erase(it.pair.key) > 0)
                    self->hooks.removed(it.pair.key);
            }
            if (broken)
                self->readLater("watch-broken");
        });
    }

    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    std::string prefix;
    Hooks hooks;
    EventLimiter limiter { "feed" };
    Common::Instant brokenAt {};
    std::map<std::string, std::int64_t> revisions; ///< Of the keys that are there.
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
