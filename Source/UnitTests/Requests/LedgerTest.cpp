/// What a holder says of keys: views, its memory's beginning, retention, hand-over.

#include "Decision/Requests/Ledger.h"
#include "Common/Rendezvous.h"
#include "Requests/VirtualFleet.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace RequestTests {

using namespace std::chrono_literals;
using Decision::Ledger;
using Decision::LedgerView;
using Messages::ClaimKey;
using Messages::ClaimVerdict;

namespace {

    constexpr Common::WallTime start { 1790000000000ms };
    const std::string pool = "desk";

    Decision::RequestLimits limits()
    {
        Decision::RequestLimits limits;
        limits.clockSkew = 500ms;
        return limits;
    }

    ClaimKey keyOf(Common::WallTime issued, std::uint64_t number = 1) { return { pool, "hotels", uuid7(issued, number) }; }

    Messages::ClaimRequest claimOf(const ClaimKey& key, std::uint64_t epoch, std::uint64_t token = (1ull << 32) + 1)
    {
        return { token, key, 42, epoch, false };
    }

    /// A holder of the pool in a view of its own, whole since `since`.
    Ledger aloneSince(Common::WallTime since, const Decision::RequestGuards& guards = {})
    {
        Ledger ledger("a", limits(), guards);
        ledger.setView(since, { 1, { "a" } }, { pool }, false);
        return ledger;
    }

    /// Two newcomers that become the holders of the pool once they join a and b.
    std::vector<HostId> newcomers()
    {
        std::vector<HostId> members { "a", "b" };
        for (int i = 0; i < 100; ++i)
            members.push_back("n" + std::to_string(i));
        return Common::rendezvousTop(pool, members, 2);
    }

} // namespace

TEST_CASE("A member that knows a later view confirms no claim of an earlier one")
{
    const auto joined = newcomers();
    REQUIRE(std::find(joined.begin(), joined.end(), "a") == joined.end());
    for (const bool checked : { true, false }) {
        Decision::RequestGuards guards;
        guards.viewEpochChecked = checked;
        Ledger member("a", limits(), guards);
        member.setView(start, { 1, { "a", "b" } }, { pool }, false);
        member.setView(start, { 2, { "a", "b", joined[0], joined[1] } }, { pool }, false);
        Messages::ClaimRequest late = claimOf(keyOf(start + 5s), 1);
        late.allMembers = true;
        // The new holders know nothing of this claim, so a confirmation would let the key run twice.
        CHECK((member.claim(start + 5s, "b", late).verdict == ClaimVerdict::Granted) == !checked);
    }
}

TEST_CASE("Keys are vouched for only when issued after the memory began, by both clock differences")
{
    Ledger ledger = aloneSince(start);
    // A caller and its entry host that are each ahead by the allowance let in such a key before the memory began.
    const ClaimKey early = keyOf(start + 999ms);
    CHECK(ledger.claim(start + 2s, "c", claimOf(early, 1)).verdict == ClaimVerdict::ExpiredKey);
    CHECK(ledger.claim(start + 2s, "c", claimOf(keyOf(start + 1001ms), 1)).verdict == ClaimVerdict::Granted);
    Decision::RequestGuards guards;
    guards.memoryVouched = false;
    CHECK(aloneSince(start, guards).claim(start + 2s, "c", claimOf(early, 1)).verdict == ClaimVerdict::Granted);
}

TEST_CASE("A record past its retention leaves an old key, not an unknown one")
{
    Ledger ledger = aloneSince(start);
    const ClaimKey key = keyOf(start + 2s);
    REQUIRE(ledger.claim(start + 2s, "c", claimOf(key, 1)).verdict == ClaimVerdict::Granted);
    const auto later = start + 2s + limits().claimRetention + 2s;
    ledger.prune(later);
    CHECK(ledger.records() == 0);
    CHECK(ledger.look(later, key, 42).verdict == ClaimVerdict::ExpiredKey);
    CHECK(ledger.claim(later, "c", claimOf(key, 1)).verdict == ClaimVerdict::ExpiredKey);
}

TEST_CASE("A claim that was released and made again is kept for its whole retention")
{
    Ledger ledger = aloneSince(start);
    const ClaimKey key = keyOf(start + 2s);
    const std::uint64_t second = (1ull << 32) + 2;
    REQUIRE(ledger.claim(start + 2s, "c", claimOf(key, 1)).verdict == ClaimVerdict::Granted);
    ledger.release(key, second);
    CHECK(ledger.records() == 1); // Another claim's release.
    ledger.release(key, (1ull << 32) + 1);
    CHECK(ledger.records() == 0);
    CHECK(ledger.claim(start + 3s, "d", claimOf(key, 1, second)).verdict == ClaimVerdict::Granted);
    CHECK(ledger.claim(start + 3s, "c", claimOf(key, 1)).verdict == ClaimVerdict::Running);
    ledger.prune(start + limits().claimRetention);
    CHECK(ledger.records() == 1);
}

TEST_CASE("Claims of an earlier start of a host stand in the way of its next one")
{
    Ledger ledger = aloneSince(start);
    const ClaimKey key = keyOf(start + 2s);
    REQUIRE(ledger.claim(start + 2s, "c", claimOf(key, 1)).verdict == ClaimVerdict::Granted);
    CHECK(ledger.claim(start + 2s, "c", claimOf(key, 1, (2ull << 32) + 1)).verdict == ClaimVerdict::Running);
    CHECK(ledger.claim(start + 2s, "c", claimOf(key, 1, (1ull << 32) + 7)).verdict == ClaimVerdict::Granted);
}

TEST_CASE("A holder that missed a view keeps its memory only if it surely stayed a member")
{
    for (const bool stayed : { true, false }) {
        Ledger ledger = aloneSince(start);
        ledger.setView(start + 5s, { 3, { "a", "b" } }, { pool }, stayed);
        CHECK(ledger.vouchesFor(pool) == stayed);
    }
    Ledger ledger = aloneSince(start);
    ledger.setView(start + 5s, { 2, { "a", "b" } }, { pool }, false);
    CHECK(ledger.recordsCompleteSince(pool) == start);
}

TEST_CASE("A new holder waits for every member and takes over records and memory")
{
    Ledger old = aloneSince(start);
    const ClaimKey running = keyOf(start + 2s, 1);
    const ClaimKey finished = keyOf(start + 2s, 2);
    REQUIRE(old.claim(start + 2s, "c", claimOf(running, 1)).verdict == ClaimVerdict::Granted);
    REQUIRE(old.claim(start + 2s, "c", claimOf(finished, 1)).verdict == ClaimVerdict::Granted);
    Ports::Answer answer;
    answer.outcome = Ports::Outcome::Done;
    old.finish(finished, answer);
    const LedgerView next { 2, { "a", "b" } };
    Ledger fresh("b", limits(), {});
    fresh.setView(start + 9s, next, { pool }, false);
    CHECK_FALSE(fresh.vouchesFor(pool));
    const auto queries = fresh.openQueries();
    REQUIRE(queries.size() == 1);
    const auto& query = std::get<Messages::LedgerQuery>(queries[0].message);
    CHECK(old.answerQuery("b", query).empty()); // Not in the same view yet.
    old.setView(start + 9s, next, { pool }, false);
    for (const auto& part : old.answerQuery("b", query))
        fresh.handover("a", std::get<Messages::LedgerHandover>(part.message), start + 9s);
    CHECK(fresh.recordsCompleteSince(pool) == start);
    CHECK(fresh.look(start + 9s, running, 42).verdict == ClaimVerdict::Running);
    CHECK(fresh.look(start + 9s, running, 43).verdict == ClaimVerdict::OtherBody);
    CHECK(fresh.look(start + 9s, finished, 42).verdict == ClaimVerdict::Finished);
    CHECK(fresh.look(start + 9s, keyOf(start + 8s, 3), 42).verdict == ClaimVerdict::Granted);
}

} // namespace RequestTests
