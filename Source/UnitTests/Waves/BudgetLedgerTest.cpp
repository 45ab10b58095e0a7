/// Tests of the budget arithmetic, the records, and the recovery after a write with an unknown outcome.

#include "Decision/Waves/BudgetLedger.h"
#include "Decision/Waves/WaveSelection.h"
#include "Waves/HostViews.h"

#include <doctest/doctest.h>

using namespace Decision;
using namespace std::chrono_literals;
using Ports::PlatformStatus;

namespace {

/// Six hosts, one per rack. Two services share the pool, and the stricter budget requires three hosts.
struct LedgerFixture {
    FleetView view;
    std::unique_ptr<BudgetLedger> ledger;

    LedgerFixture()
    {
        for (int i = 0; i < 6; ++i)
            view.hosts.push_back(Fakes::makeHost("desk-" + std::to_string(i), "desk", "rack-" + std::to_string(i)));
        ledger = BudgetLedger::create({ "imlil", "entry-0", { { "booking", "desk", 50 }, { "rosters", "desk", 20 } }, {} }).take();
        answerLoad({});
    }

    void answerLoad(const std::vector<Ports::KeyValue>& budgets)
    {
        for (const auto& call : ledger->load())
            answer(call, budgets);
    }

    void answer(const PlatformAction& call, const std::vector<Ports::KeyValue>& budgets)
    {
        const auto& read = std::get<PlatformRead>(call);
        Ports::PlatformReply reply;
        reply.status = PlatformStatus::Ok;
        if (read.key == budgetPrefix("imlil"))
            reply.values = budgets;
        ledger->handle({ read.token, reply });
    }

    std::vector<PlatformAction> reserve(const std::vector<std::string>& hosts)
    {
        std::vector<LedgerChange> changes;
        changes.reserve(hosts.size());
        for (const auto& name : hosts)
            changes.push_back({ LedgerChange::Kind::Reserve, { name, "kernel", "entry-0", ReservationPhase::Draining, 1, false, {} }, "desk", "", false });
        return ledger->submit(view, changes);
    }
};

} // namespace

TEST_CASE("the number of required hosts is rounded up")
{
    CHECK(requiredHosts(3, 50) == 2);
    CHECK(requiredHosts(4, 50) == 2);
    CHECK(requiredHosts(0, 50) == 0);
    CHECK(requiredHosts(7, 100) == 7);
}

TEST_CASE("records are decoded as they were encoded, and damaged ones are rejected")
{
    BudgetRecord record { 4, { { "desk-1", "kernel", "entry-0", ReservationPhase::Returning, 9, true, Common::WallTime(77ms) } } };
    const auto read = decodeBudgetRecord(encodeBudgetRecord(record));
    CHECK(read.value().version == 4);
    CHECK(read.value().reserved == record.reserved);
    CHECK_FALSE(decodeBudgetRecord("[1").isOk());
    CHECK_FALSE(decodeBudgetRecord(R"({"version":1,"reserved":[{"phase":"sleeping"}]})").isOk());
    CHECK(decodeWaveRackRecord(encodeWaveRackRecord({ 2, { "a", "b" } })).value().done.size() == 2);
}

TEST_CASE_FIXTURE(LedgerFixture, "a reservation in a pool of two services is written to both records in one transaction, within the stricter budget")
{
    const auto calls = reserve({ "desk-0", "desk-1", "desk-2", "desk-3" });
    REQUIRE(calls.size() == 1);
    const auto& write = std::get<PlatformTransact>(calls[0]);
    CHECK(write.transaction.puts.size() == 2);
    CHECK(write.transaction.compares.size() == 2);
    // Of six hosts, three are required and one is kept for a lost rack, so two may be reserved.
    CHECK(decodeBudgetRecord(write.transaction.puts[0].value).value().reserved.size() == 2);
    CHECK(ledger->reservedHosts().empty());
    ledger->handle({ write.token, { PlatformStatus::Ok, 5, {}, 0, {} } });
    CHECK(ledger->reservedHosts().size() == 2);
    CHECK(reserve({ "desk-4" }).empty());
}

TEST_CASE_FIXTURE(LedgerFixture, "after a write with an unknown outcome, the records are read before anything else is reserved")
{
    const auto calls = reserve({ "desk-0" });
    const auto write = std::get<PlatformTransact>(calls.at(0));
    const auto reads = ledger->handle({ write.token, { PlatformStatus::Uncertain, 0, {}, 0, {} } });
    CHECK(reads.size() == 2);
    CHECK_FALSE(ledger->isLoaded());
    CHECK(reserve({ "desk-1" }).empty());
    std::vector<Ports::KeyValue> stored;
    for (const auto& put : write.transaction.puts)
        stored.push_back({ put.key, put.value, 8 });
    for (const auto& read : reads)
        answer(read, stored);
    CHECK(ledger->reservedHosts() == std::set<std::string> { "desk-0" });
}

TEST_CASE_FIXTURE(LedgerFixture, "hosts of unknown health count as down, and a ledger whose read failed isn't loaded")
{
    for (int i = 0; i < 3; ++i)
        view.hosts[i].health = HostHealth::Unknown;
    CHECK_FALSE(ledger->mayReserve(view, view.hosts[4]));
    CHECK_FALSE(ledger->isBelowBudget(view, "desk"));
    view.hosts[3].health = HostHealth::Down;
    CHECK(ledger->isBelowBudget(view, "desk"));
    auto other = BudgetLedger::create({ "imlil", "entry-1", {}, {} }).take();
    for (const auto& call : other->load())
        other->handle({ std::get<PlatformRead>(call).token, { PlatformStatus::NotSent, 0, {}, 0, {} } });
    CHECK_FALSE(other->isLoaded());
    CHECK_FALSE(other->isBusy());
}

TEST_CASE("the static forecast keeps the budget after the loss of a rack")
{
    // 12 hosts on 6 racks of 2, budget of 50%: 6 hosts must remain after the loss of one rack of the hosts that are up.
    const auto forecast = forecastFleet({ 12, 6, 50, 100s });
    CHECK(forecast.atOnce == 4);
    CHECK(forecast.length == 300s);
    CHECK(forecastFleet({ 2, 2, 50, 100s }).atOnce == 0);
}
