/// Tests of the holder's verdicts: view changes, completeness of records, retention, hand-over.

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

    /// The only member of a view, with complete records of the pool since the given time.
    Ledger soleHolderSince(Common::WallTime since, const Decision::RequestGuards& guards = {})
    {
        Ledger ledger("a", limits(), guards);
        ledger.setView(since, { 1, { "a" } }, { pool }, false);
        return ledger;
    }

    /// Two hosts that become the holders of the pool when they join a and b.
    std::vector<HostId> joiningHolders()
    {
        std::vector<HostId> members { "a", "b" };
        for (int i = 0; i < 100; ++i)
            members.push_back("n" + std::to_string(i));
        return Common::rendezvousTop(pool, members, 2);
    }

} // namespace

TEST_CASE("A member that knows a later view doesn't confirm a claim made in an earlier one")
{
    const auto joined = joiningHolders();
    REQUIRE(std::find(joined.begin(), joined.end(), "a") == joined.end());
    for (const bool checked : { true, false }) {
        Decision::RequestGuards guards;
        guards.viewEpochChecked = checked;
        Ledger member("a", limits(), guards);
        member.setView(start, { 1, { "a", "b" } }, { pool }, false);
        member.setView(start, { 2, { "a", "b", joined[0], joined[1] } }, { pool }, false);
        Messages::ClaimRequest late = claimOf(keyOf(start + 5s), 1);
        late.allMembers = true;
        // The new holders have no record of this claim, so a confirmation would allow the key to run twice.
        CHECK((member.claim(start + 5s, "b", late).verdict == ClaimVerdict::Granted) == !checked);
    }
}

TEST_CASE("A key is granted only if it was issued after the records became complete, plus twice the clock skew")
{
    Ledger ledger = soleHolderSince(start);
    // Such a key may have been admitted before the records were complete, if the clocks of the caller and of its entry host are
    // each ahead by the allowed skew.
    const ClaimKey early = keyOf(start + 999ms);
    CHECK(ledger.claim(start + 2s, "c", claimOf(early, 1)).verdict == ClaimVerdict::ExpiredKey);
    CHECK(ledger.claim(start + 2s, "c", claimOf(keyOf(start + 1001ms), 1)).verdict == ClaimVerdict::Granted);
    Decision::RequestGuards guards;
    guards.recordCoverageChecked = false;
    CHECK(soleHolderSince(start, guards).claim(start + 2s, "c", claimOf(early, 1)).verdict == ClaimVerdict::Granted);
}

TEST_CASE("A key whose record was dropped after its retention is refused as too old and not granted again")
{
    Ledger ledger = soleHolderSince(start);
    const ClaimKey key = keyOf(start + 2s);
    REQUIRE(ledger.claim(start + 2s, "c", claimOf(key, 1)).verdict == ClaimVerdict::Granted);
    const auto later = start + 2s + limits().claimRetention + 2s;
    ledger.prune(later);
    CHECK(ledger.records() == 0);
    CHECK(ledger.peek(later, key, 42).verdict == ClaimVerdict::ExpiredKey);
    CHECK(ledger.claim(later, "c", claimOf(key, 1)).verdict == ClaimVerdict::ExpiredKey);
}

TEST_CASE("A claim that was released and then repeated is kept for its full retention")
{
    Ledger ledger = soleHolderSince(start);
    const ClaimKey key = keyOf(start + 2s);
    const std::uint64_t second = (1ull << 32) + 2;
    REQUIRE(ledger.claim(start + 2s, "c", claimOf(key, 1)).verdict == ClaimVerdict::Granted);
    ledger.release(key, second);
    CHECK(ledger.records() == 1); // The token belongs to another claim.
    ledger.release(key, (1ull << 32) + 1);
    CHECK(ledger.records() == 0);
    CHECK(ledger.claim(start + 3s, "d", claimOf(key, 1, second)).verdict == ClaimVerdict::Granted);
    CHECK(ledger.claim(start + 3s, "c", claimOf(key, 1)).verdict == ClaimVerdict::Running);
    ledger.prune(start + limits().claimRetention);
    CHECK(ledger.records() == 1);
}

TEST_CASE("A claim made by an earlier incarnation of a host blocks its next incarnation")
{
    Ledger ledger = soleHolderSince(start);
    const ClaimKey key = keyOf(start + 2s);
    REQUIRE(ledger.claim(start + 2s, "c", claimOf(key, 1)).verdict == ClaimVerdict::Granted);
    CHECK(ledger.claim(start + 2s, "c", claimOf(key, 1, (2ull << 32) + 1)).verdict == ClaimVerdict::Running);
    CHECK(ledger.claim(start + 2s, "c", claimOf(key, 1, (1ull << 32) + 7)).verdict == ClaimVerdict::Granted);
}

TEST_CASE("A holder that missed a view treats its records as complete only if it is certain to have stayed a member")
{
    for (const bool stayed : { true, false }) {
        Ledger ledger = soleHolderSince(start);
        ledger.setView(start + 5s, { 3, { "a", "b" } }, { pool }, stayed);
        CHECK(ledger.hasCompleteRecords(pool) == stayed);
    }
    Ledger ledger = soleHolderSince(start);
    ledger.setView(start + 5s, { 2, { "a", "b" } }, { pool }, false);
    CHECK(ledger.recordsCompleteSince(pool) == start);
}

TEST_CASE("A new holder waits for the hand-over of every member and takes over their records and completeness")
{
    Ledger old = soleHolderSince(start);
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
    CHECK_FALSE(fresh.hasCompleteRecords(pool));
    const auto queries = fresh.openQueries();
    REQUIRE(queries.size() == 1);
    const auto& query = std::get<Messages::LedgerQuery>(queries[0].message);
    CHECK(old.answerQuery("b", query).empty()); // The views still differ.
    old.setView(start + 9s, next, { pool }, false);
    for (const auto& part : old.answerQuery("b", query))
        fresh.handover("a", std::get<Messages::LedgerHandover>(part.message), start + 9s);
    CHECK(fresh.recordsCompleteSince(pool) == start);
    CHECK(fresh.peek(start + 9s, running, 42).verdict == ClaimVerdict::Running);
    CHECK(fresh.peek(start + 9s, running, 43).verdict == ClaimVerdict::OtherBody);
    CHECK(fresh.peek(start + 9s, finished, 42).verdict == ClaimVerdict::Finished);
    CHECK(fresh.peek(start + 9s, keyOf(start + 8s, 3), 42).verdict == ClaimVerdict::Granted);
}

} // namespace RequestTests
