/// Tests of the journal: group commits, fencing, lost answers and snapshots.

#include "Jobs/Runtime/Journal.h"
#include "FakeStore.h"
#include "JobFleet.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <memory>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

/// Opens journals of one pool; each open() makes a new owner by changing the owner key.
struct JournalFixture {
    VirtualLoop loop;
    FakeStore store { loop };
    FakeStorePort port { store, "host" };
    bool isDeposed = false;
    unsigned records = 0;

    std::unique_ptr<Journal> open(std::uint64_t perSnapshot = 400)
    {
        store.put("owner", "host");
        JournalSettings settings;
        settings.pool = "desk";
        settings.ownerKey = "owner";
        settings.fence = static_cast<Fence>(store.state.revision());
        settings.segmentsPerSnapshot = perSnapshot;
        Journal::Hooks hooks;
        hooks.deposed = [this] { isDeposed = true; };
        hooks.snapshot = [this] {
            std::vector<JobRecord> all;
            for (unsigned n = 0; n < records; ++n)
                all.emplace_back(JobCancelled { jobId(n), {} });
            return all;
        };
        auto journal = std::make_unique<Journal>(loop, port, settings, std::move(hooks));
        journal->load([this](const std::vector<JobRecord>& read) { records = static_cast<unsigned>(read.size()); });
        loop.runFor(100ms);
        return journal;
    }

    void append(Journal& journal, bool& isStored)
    {
        journal.append({ JobCancelled { jobId(records++), {} } }, [&isStored] { isStored = true; });
    }
};

} // namespace

TEST_CASE("an effect runs only once its record is stored, and records appended together are stored in one write")
{
    JournalFixture fixture;
    const auto journal = fixture.open();
    std::array<bool, 5> isStored {};
    const auto before = fixture.store.writes;
    for (auto& it : isStored)
        fixture.append(*journal, it);
    CHECK(!isStored[0]);
    fixture.loop.runFor(100ms);
    for (const bool it : isStored)
        CHECK(it);
    CHECK(fixture.store.writes - before == 1);
}

TEST_CASE("a commit whose answer is lost is stored exactly once, even when it takes effect after the timeout")
{
    JournalFixture fixture;
    const auto journal = fixture.open();
    bool isStored = false;
    fixture.store.answersToLose = 1;
    fixture.store.lateEffect = 2s;
    fixture.append(*journal, isStored);
    fixture.loop.runFor(6s);
    CHECK(isStored);
    CHECK(!fixture.isDeposed);
    const auto reopened = fixture.open();
    CHECK(fixture.records == 1);
}

TEST_CASE("the revisions of an owner's commits lie between its fence and that of the next owner, also if an answer is lost")
{
    for (const auto lateEffect : { 0ms, 2000ms }) {
        CAPTURE(lateEffect.count());
        JournalFixture fixture;
        const auto newestOfStore = [&fixture] { return static_cast<Fence>(fixture.store.state.revision()); };
        const auto journal = fixture.open();
        const auto fence = newestOfStore();
        CHECK(journal->newestRevision() == fence);
        bool isStored = false;
        fixture.append(*journal, isStored);
        CHECK(journal->newestRevision() == fence);
        fixture.loop.runFor(1s);
        REQUIRE(isStored);
        const auto first = journal->newestRevision();
        CHECK(first > fence);
        CHECK(first == newestOfStore());
        isStored = false;
        fixture.store.answersToLose = 1;
        fixture.store.lateEffect = lateEffect;
        fixture.append(*journal, isStored);
        fixture.loop.runFor(6s);
        REQUIRE(isStored);
        CHECK(journal->newestRevision() > first);
        CHECK(journal->newestRevision() == newestOfStore());
        fixture.append(*journal, isStored);
        const auto next = fixture.open();
        CHECK(next->newestRevision() > journal->newestRevision());
    }
}

TEST_CASE("a deposed owner stores nothing, is notified, and its effects never run")
{
    JournalFixture fixture;
    const auto old = fixture.open();
    bool isStored = false;
    fixture.store.put("owner", "other");
    fixture.append(*old, isStored);
    fixture.loop.runFor(2s);
    CHECK(!isStored);
    CHECK(fixture.isDeposed);
    const auto next = fixture.open();
    CHECK(fixture.records == 0);
}

TEST_CASE("a reader sees all stored records at any time while a snapshot replaces segments")
{
    JournalFixture fixture;
    auto journal = fixture.open(5);
    bool isStored = false;
    for (unsigned n = 0; n < 23; ++n) {
        fixture.append(*journal, isStored);
        fixture.loop.runFor(45ms + std::chrono::milliseconds(n % 7));
        // A concurrent reader sees all stored records; the commit of the latest one may still be in flight.
        std::size_t seen = 0;
        JournalSettings settings;
        settings.pool = "desk";
        settings.ownerKey = "owner";
        Journal reader(fixture.loop, fixture.port, settings, {});
        const auto stored = fixture.records;
        reader.load([&seen](const std::vector<JobRecord>& read) { seen = read.size(); });
        fixture.loop.runFor(400ms);
        CHECK(seen >= stored - 1);
    }
    const auto reopened = fixture.open(5);
    CHECK(fixture.records == 23);
    const auto left = fixture.store.state.read("/marigold/jobs/desk/", true, fixture.loop.now()).values.size();
    CHECK(left <= 10);
}

TEST_CASE("records that exceed the store's value size are split over segments, in order and before their effects")
{
    JournalFixture fixture;
    const auto journal = fixture.open();
    constexpr std::size_t storeLimit = std::size_t { 1 } << 20; // Size of a value in bytes, base64 included.
    const std::string payload(4000, 'x');
    std::vector<unsigned> effects;
    for (unsigned n = 0; n < 300; ++n) {
        JobAccepted accepted;
        accepted.job = jobId(n);
        accepted.spec.payload = payload;
        journal->append({ accepted }, [&effects, n] { effects.push_back(n); });
    }
    fixture.loop.runFor(2s);
    CHECK(std::ranges::is_sorted(effects));
    CHECK(effects.size() == 300);
    for (const auto& it : fixture.store.state.read("/marigold/jobs/desk/", true, fixture.loop.now()).values)
        CHECK(it.value.size() * 4 / 3 < storeLimit);
    const auto reopened = fixture.open();
    CHECK(fixture.records == 300);
}
