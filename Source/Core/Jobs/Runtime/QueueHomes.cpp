#include "Jobs/Runtime/QueueHomes.h"

#include "Common/Rendezvous.h"
#include "Jobs/Runtime/EventLimiter.h"
#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Jobs {

using Ports::PlatformReply;
using Ports::PlatformStatus;
using std::chrono::milliseconds;

namespace {

    /// Can't be part of a host, a path or a name.
    constexpr char separator = '\n';
    constexpr std::size_t putsPerCall = StoreKeys::deletesPerCall;
    constexpr std::size_t deletesPerCall = StoreKeys::deletesPerCall / 2; ///< Each has a compare.
    constexpr milliseconds useTime { 30000 }; ///< Longer than a call of a caller takes, from the look-up of the homes to the job's acceptance.

    std::string hashText(const std::string& text) { return std::to_string(Common::hash64(text)); }

    std::string prefixOf(const QueueRule& queue) { return StoreKeys::queues + hashText(queue.host + separator + queue.prefix) + '/'; }

    std::string prefixOf(const std::string& key) { return key.substr(0, key.rfind('/') + 1); }

    std::string formatHome(const QueueHome& home) { return home.pool + separator + home.queue; }

    QueueHome parseHome(const std::string& text)
    {
        const auto end = text.find(separator);
        return end == std::string::npos ? QueueHome { text, {} } : QueueHome { text.substr(0, end), text.substr(end + 1) };
    }

} // namespace

struct QueueHomes::State : std::enable_shared_from_this<QueueHomes::State> {
    struct Waiting {
        std::string key;
        std::uint64_t version = 0;
        Callback callback;
    };

    /// A home that this pool is, or is to be recorded as.
    struct Own {
        QueueHome home;
        bool isConfigured = false;
        bool isRecorded = false; ///< When the homes were last read.
        bool mustRecord = false; ///< Even if the store has it, since it may be about to be deleted.
        Common::Instant usedAt {};
    };

    /// A home that has become known by a question of its owner.
    struct Noted {
        std::string prefix; ///< Of the queue's keys.
        QueueHome home;
        std::uint64_t readsBegun = 0; ///< When it was noted. Later reads contain it while it is recorded.
    };

    State(Common::TaskLoop& taskLoop, Ports::PlatformPort& platformPort, std::string name, Ports::Compare ownerKey, IsInUse inUse)
        : loop(taskLoop)
        , platform(platformPort)
        , pool(std::move(name))
        , ownership(std::move(ownerKey))
        , isInUse(std::move(inUse))
    {
    }

    Own& ownOf(const QueueRule& queue, std::string& key)
    {
        const QueueHome home { pool, queue.name };
        key = prefixOf(queue) + hashText(formatHome(home));
        const auto [it, isNew] = owns.try_emplace(key);
        it->second.home = home;
        if (isNew)
            it->second.mustRecord = deleted.erase(key) > 0;
        return it->second;
    }

    void configure(const JobConfiguration& configuration)
    {
        for (auto& [key, own] : owns)
            own.isConfigured = false;
        std::string key;
        for (const auto& it : configuration.queues) {
            if (it.pool == pool)
                ownOf(it, key).isConfigured = true;
        }
        configuredVersion = configuration.version;
        refresh();
    }

    void find(const QueueRule& queue, std::uint64_t version, Callback callback)
    {
        std::string key;
        auto& own = ownOf(queue, key);
        own.usedAt = loop.now();
        if (own.isRecorded && isRead && readVersion >= version) {
            callback(&homes[prefixOf(key)]);
            return;
        }
        waiting.push_back({ std::move(key), version, std::move(callback) });
        refresh();
    }

    void note(const QueueRule& queue, const QueueHome& home)
    {
        const auto prefix = prefixOf(queue);
        const auto isSame = [&](const Noted& it) { return it.prefix == prefix && it.home == home; };
        if (const auto it = std::ranges::find_if(noted, isSame); it != noted.end())
            it->readsBegun = readsBegun;
        else
            noted.push_back({ prefix, home, readsBegun });
        addHome(prefix, home);
    }

    void addHome(const std::string& prefix, const QueueHome& home)
    {
        auto& known = homes[prefix];
        if (std::ranges::find(known, home) == known.end())
            known.push_back(home);
    }

    void refresh()
    {
        if (!std::exchange(isPending, true))
            read();
    }

    void read()
    {
        auto version = configuredVersion;
        for (const auto& it : waiting)
            version = std::max(version, it.version);
        platform.read(StoreKeys::queues, true, [weak = weak_from_this(), version, number = ++readsBegun](const PlatformReply& reply) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (reply.status == PlatformStatus::Ok)
                self->onRead(version, number, reply);
            else
                self->fail("read", reply.status);
        });
    }

    void onRead(std::uint64_t version, std::uint64_t number, const PlatformReply& reply)
    {
        homes.clear();
        for (auto& [key, own] : owns)
            own.isRecorded = false;
        std::vector<Ports::Compare> unused;
        std::set<std::string> stillThere;
        for (const auto& it : reply.values) {
            const auto own = owns.find(it.key);
            auto home = parseHome(it.value);
            if (deleted.contains(it.key))
                stillThere.insert(it.key);
            if (own != owns.end())
                own->second.isRecorded = !own->second.mustRecord;
            else if (home.pool == pool && !isInUse(home.queue))
                unused.push_back({ it.key, it.modRevision });
            homes[prefixOf(it.key)].push_back(std::move(home));
        }
        deleted = std::move(stillThere);
        std::erase_if(noted, [number](const Noted& it) { return it.readsBegun < number; });
        for (const auto& it : noted)
            addHome(it.prefix, it.home);
        if (record())
            return;
        isPending = false;
        isRead = true;
        readVersion = version;
        forget(unused);
        answerWaiting();
    }

    void answerWaiting()
    {
        auto pending = std::exchange(waiting, {});
        for (auto& it : pending) {
            if (readVersion >= it.version && owns.at(it.key).isRecorded)
                it.callback(&homes[prefixOf(it.key)]);
            else
                waiting.push_back(std::move(it));
        }
        if (!waiting.empty() || configuredVersion > readVersion)
            refresh();
    }

    /// Records homes that the store doesn't have, and reads again. Returns false when there are none.
    bool record()
    {
        Ports::Transaction transaction;
        transaction.compares = { ownership };
        for (const auto& [key, own] : owns) {
            if (!own.isRecorded && transaction.puts.size() < putsPerCall)
                transaction.puts.push_back({ key, formatHome(own.home), 0 });
        }
        if (transaction.puts.empty())
            return false;
        const auto puts = transaction.puts;
        platform.transact(std::move(transaction), [weak = weak_from_this(), puts](const PlatformReply& reply) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (reply.status != PlatformStatus::Ok) {
                self->fail("record", reply.status);
                return;
            }
            for (const auto& it : puts)
                self->owns.at(it.key).mustRecord = false;
            self->read();
        });
        return true;
    }

    /// Deletes homes without jobs from the store, and drops those of this owner that are deleted after the next read: a job may still be about to
    /// be accepted there.
    void forget(const std::vector<Ports::Compare>& unused)
    {
        std::erase_if(owns, [this](const auto& entry) {
            const auto& own = entry.second;
            return !own.isConfigured && loop.now() - own.usedAt > useTime && !isInUse(own.home.queue);
        });
        Ports::Transaction transaction;
        transaction.compares = { ownership };
        for (const auto& it : unused) {
            if (transaction.deletes.size() == deletesPerCall)
                break;
            transaction.compares.push_back(it);
            transaction.deletes.push_back(it.key);
            deleted.insert(it.key);
        }
        if (transaction.deletes.empty())
            return;
        writeEvent("queues", { "homes-deleted", pool, { { "homes", std::to_string(transaction.deletes.size()) }, { "unused", std::to_string(unused.size()) } } });
        platform.transact(std::move(transaction), [weak = weak_from_this()](const PlatformReply& reply) {
            const auto self = weak.lock();
            if (self && reply.status != PlatformStatus::Ok)
                self->log("delete", reply.status); // The next read finds them again.
        });
    }

    void fail(const char* step, PlatformStatus status)
    {
        log(step, status);
        isPending = false;
        for (const auto& it : std::exchange(waiting, {}))
            it.callback(nullptr);
    }

    void log(const char* step, PlatformStatus status)
    {
        limiter.write({ "homes-call-failed", pool, { { "step", step }, { "status", std::to_string(static_cast<int>(status)) }, { "waiting", std::to_string(waiting.size()) } } }, loop.now());
    }

    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    std::string pool;
    Ports::Compare ownership;
    IsInUse isInUse;
    std::map<std::string, Own> owns; ///< By key in the store.
    std::set<std::string> deleted; ///< Keys of homes whose deletion was sent. It may take effect late, unless the key is written again.
    std::map<std::string, std::vector<QueueHome>> homes; ///< By prefix of the queue's keys, as last read.
    std::vector<Noted> noted;
    std::vector<Waiting> waiting;
    std::uint64_t readsBegun = 0;
    std::uint64_t configuredVersion = 0;
    std::uint64_t readVersion = 0;
    bool isRead = false;
    bool isPending = false;
    EventLimiter limiter { "queues" };
};

QueueHomes::QueueHomes(Common::TaskLoop& loop, Ports::PlatformPort& platform, std::string pool, Ports::Compare ownership, IsInUse isInUse)
    : m_state(std::make_shared<State>(loop, platform, std::move(pool), std::move(ownership), std::move(isInUse)))
{
}

QueueHomes::~QueueHomes() = default;

void QueueHomes::configure(const JobConfiguration& configuration) { m_state->configure(configuration); }

void QueueHomes::find(const QueueRule& queue, std::uint64_t version, Callback callback)
{
    m_state->find(queue, version, std::move(callback));
}

void QueueHomes::note(const QueueRule& queue, const QueueHome& home) { m_state->note(queue, home); }

} // namespace Jobs
