/// A host's lease while the store answers only some of the calls.

#include "Jobs/Runtime/Ownership.h"
#include "VirtualLoop.h"

#include <doctest/doctest.h>
#include <utility>
#include <vector>

using namespace std::chrono_literals;
using Ports::PlatformCallback;
using Ports::PlatformStatus;

namespace {

/// Grants one lease, which lapses at once, and doesn't answer later grants.
class LapsingStore final : public Ports::PlatformPort {
public:
    void start() override { }
    void read(const std::string&, bool, PlatformCallback callback) override { callback({ PlatformStatus::Ok, 1, {}, 0, {} }); }
    void transact(Ports::Transaction, PlatformCallback callback) override { callback({ PlatformStatus::ComparesFailed, 0, {}, 0, {} }); }
    void grantLease(std::chrono::seconds timeToLive, PlatformCallback callback) override
    {
        if (++grants == 1)
            callback({ PlatformStatus::Ok, 0, {}, 1, timeToLive });
        else
            unanswered.push_back(std::move(callback));
    }
    void renewLease(Ports::LeaseId, PlatformCallback callback) override { callback({ PlatformStatus::Ok, 0, {}, 0, 0s }); }
    void revokeLease(Ports::LeaseId, PlatformCallback) override { }
    void watch(const std::string&, std::int64_t, Ports::WatchCallback) override { }
    void readHostList(Ports::HostListCallback) override { }
    void rebootHost(const std::string&, std::uint64_t, PlatformCallback) override { }
    void stop() override { }

    unsigned grants = 0;
    std::vector<PlatformCallback> unanswered;
};

/// Grants a lease, and keeps the answer to each renewal until the test passes it on.
class SlowStore final : public Ports::PlatformPort {
public:
    void start() override { }
    void read(const std::string&, bool, PlatformCallback callback) override { callback({ PlatformStatus::Ok, 1, {}, 0, {} }); }
    void transact(Ports::Transaction, PlatformCallback callback) override { callback({ PlatformStatus::Ok, 1, {}, 0, {} }); }
    void grantLease(std::chrono::seconds timeToLive, PlatformCallback callback) override { callback({ PlatformStatus::Ok, 0, {}, 1, timeToLive }); }
    void renewLease(Ports::LeaseId, PlatformCallback callback) override { renewals.push_back(std::move(callback)); }
    void revokeLease(Ports::LeaseId, PlatformCallback) override { }
    void watch(const std::string&, std::int64_t, Ports::WatchCallback) override { }
    void readHostList(Ports::HostListCallback) override { }
    void rebootHost(const std::string&, std::uint64_t, PlatformCallback) override { }
    void stop() override { }

    std::vector<PlatformCallback> renewals;
};

} // namespace

// An owner without the store extends its workers' leases for 6 s after the last contact, and the next owner relies on that limit.
TEST_CASE("an answer of the store that is read after a pause doesn't count as contact at that time")
{
    VirtualLoop loop;
    SlowStore store;
    Jobs::OwnershipSettings settings;
    settings.self = { "host-0", "host-0:1", "dc", 1000 };
    Jobs::Ownership::Hooks hooks;
    hooks.changed = [] {};
    Jobs::Ownership ownership(loop, store, settings, std::move(hooks));
    ownership.start();
    loop.runFor(settings.renewInterval);
    REQUIRE(store.renewals.size() == 1);
    const auto sentAt = loop.now();
    loop.runFor(20s);
    store.renewals.front()({ PlatformStatus::Ok, 0, {}, 1, settings.leaseTime });
    CHECK_FALSE(ownership.isLeaseValid());
    CHECK(ownership.lastContact() <= sentAt);
}

TEST_CASE("a host whose lease has lapsed requests only one new lease while the store is slow to grant it")
{
    VirtualLoop loop;
    LapsingStore store;
    Jobs::OwnershipSettings settings;
    settings.self = { "host-0", "host-0:1", "dc", 1000 };
    Jobs::Ownership::Hooks hooks;
    hooks.changed = [] {};
    Jobs::Ownership ownership(loop, store, settings, std::move(hooks));
    ownership.start();
    loop.runFor(settings.renewInterval * 3);
    CHECK(store.grants == 2);
}
