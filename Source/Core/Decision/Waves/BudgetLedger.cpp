#include "Decision/Waves/BudgetLedger.h"

#include <algorithm>
#include <map>
#include <optional>

namespace Decision {

namespace {

    constexpr std::size_t maximumRecordsPerWrite = 100;
    constexpr unsigned hundredPercent = 100;

    template<typename Record>
    struct Stored {
        Record record;
        std::int64_t modRevision = 0;
    };

    /// All records of the data centre, by key.
    struct Records {
        std::map<std::string, Stored<BudgetRecord>> budgets;
        std::map<std::string, Stored<WaveRackRecord>> racks;
    };

    bool isWithinBudget(const PoolTally& tally, const std::string& rack, unsigned required, unsigned floor)
    {
        const unsigned remaining = tally.available() - (tally.availableIn(rack) ? 1 : 0);
        return tally.afterWorstRackWithout(rack) >= required && remaining >= floor;
    }

    bool eraseEntry(BudgetRecord& record, const std::string& upstream)
    {
        return std::erase_if(record.reserved, [&](const Reservation& it) { return it.upstream == upstream; }) > 0;
    }

    unsigned floorOf(const FleetView& view, const std::string& pool)
    {
        const auto it = view.loadFloors.find(pool);
        return it == view.loadFloors.end() ? 0 : it->second;
    }

} // namespace

struct BudgetLedger::Private {
    LedgerSettings settings;
    Records cache;
    Records pending; ///< Only the records that the outstanding write changes.
    std::optional<Records> reading;
    PlatformToken lastToken = 0;
    PlatformToken writeToken = 0;
    PlatformToken budgetsToken = 0;
    PlatformToken racksToken = 0;
    bool loaded = false;

    std::vector<std::string> keysOfPool(const std::string& pool) const;
    std::vector<std::string> keysOfEntry(const std::string& upstream) const;
    std::vector<PlatformAction> startReading();
    void apply(const LedgerChange&);
    BudgetRecord& pendingBudget(const std::string& key);
    void finishHost(const LedgerChange&);
    PlatformTransact buildWrite();
    template<typename Stores, typename Encode>
    void addPuts(Stores&, Encode, Ports::Transaction&) const;
    void handleWriteReply(const Ports::PlatformReply&);
    bool handleBudgetsReply(const Ports::PlatformReply&);
    bool handleRacksReply(const Ports::PlatformReply&);
    std::vector<PlatformAction> finishReading(bool ok);
};

std::vector<std::string> BudgetLedger::Private::keysOfPool(const std::string& pool) const
{
    std::vector<std::string> keys;
    for (const auto& budget : settings.budgets) {
        if (budget.pool == pool)
            keys.push_back(budgetKey(settings.dataCentre, budget.service));
    }
    if (keys.empty())
        keys.push_back(budgetKey(settings.dataCentre, "pool:" + pool));
    return keys;
}

std::vector<std::string> BudgetLedger::Private::keysOfEntry(const std::string& upstream) const
{
    std::vector<std::string> keys;
    for (const auto& [key, stored] : cache.budgets) {
        const auto& reserved = stored.record.reserved;
        if (std::any_of(reserved.begin(), reserved.end(), [&](const Reservation& it) { return it.upstream == upstream; }))
            keys.push_back(key);
    }
    return keys;
}

std::vector<PlatformAction> BudgetLedger::Private::startReading()
{
    reading.emplace();
    budgetsToken = ++lastToken;
    racksToken = ++lastToken;
    return {
        PlatformRead { budgetsToken, budgetPrefix(settings.dataCentre), true },
        PlatformRead { racksToken, waveProgressPrefix(settings.dataCentre), true },
    };
}

BudgetRecord& BudgetLedger::Private::pendingBudget(const std::string& key)
{
    const auto [it, added] = pending.budgets.try_emplace(key, cache.budgets[key]);
    return it->second.record;
}

void BudgetLedger::Private::apply(const LedgerChange& change)
{
    const bool adds = change.kind == LedgerChange::Kind::Reserve;
    for (const auto& key : adds ? keysOfPool(change.pool) : keysOfEntry(change.entry.upstream)) {
        auto& record = pendingBudget(key);
        eraseEntry(record, change.entry.upstream);
        if (change.kind != LedgerChange::Kind::Release)
            record.reserved.push_back(change.entry);
    }
    if (change.finished)
        finishHost(change);
}

void BudgetLedger::Private::finishHost(const LedgerChange& change)
{
    const auto key = waveProgressKey(settings.dataCentre, change.entry.wave, change.rack);
    const auto [it, added] = pending.racks.try_emplace(key, cache.racks[key]);
    it->second.record.done.insert(change.entry.upstream);
}

template<typename Stores, typename Encode>
void BudgetLedger::Private::addPuts(Stores& stores, Encode encode, Ports::Transaction& transaction) const
{
    for (auto& [key, stored] : stores) {
        ++stored.record.version;
        if (settings.guards.compareVersion)
            transaction.compares.push_back({ key, stored.modRevision });
        transaction.puts.push_back({ key, encode(stored.record), 0 });
    }
}

PlatformTransact BudgetLedger::Private::buildWrite()
{
    writeToken = ++lastToken;
    PlatformTransact write { writeToken, {} };
    addPuts(pending.budgets, encodeBudgetRecord, write.transaction);
    addPuts(pending.racks, encodeWaveRackRecord, write.transaction);
    return write;
}

void BudgetLedger::Private::handleWriteReply(const Ports::PlatformReply& reply)
{
    writeToken = 0;
    loaded = reply.status == Ports::PlatformStatus::Ok;
    if (!loaded)
        return;
    for (auto& [key, stored] : pending.budgets) {
        stored.modRevision = reply.revision;
        cache.budgets[key] = std::move(stored);
    }
    for (auto& [key, stored] : pending.racks) {
        stored.modRevision = reply.revision;
        cache.racks[key] = std::move(stored);
    }
}

bool BudgetLedger::Private::handleBudgetsReply(const Ports::PlatformReply& reply)
{
    for (const auto& pair : reply.values) {
        auto record = decodeBudgetRecord(pair.value);
        if (!record)
            return false;
        reading->budgets[pair.key] = { record.take(), pair.modRevision };
    }
    return true;
}

bool BudgetLedger::Private::handleRacksReply(const Ports::PlatformReply& reply)
{
    for (const auto& pair : reply.values) {
        auto record = decodeWaveRackRecord(pair.value);
        if (!record)
            return false;
        reading->racks[pair.key] = { record.take(), pair.modRevision };
    }
    return true;
}

std::vector<PlatformAction> BudgetLedger::Private::finishReading(bool ok)
{
    if (!ok) {
        // The other read may still be answered; clearing both tokens makes handle() ignore that reply.
        budgetsToken = racksToken = 0;
        reading.reset();
        return {};
    }
    if (budgetsToken || racksToken)
        return {};
    cache = std::move(*reading);
    reading.reset();
    loaded = true;
    return {};
}

Common::Result<std::unique_ptr<BudgetLedger>, WaveError> BudgetLedger::create(LedgerSettings settings)
{
    if (settings.dataCentre.empty() || settings.holder.empty())
        return WaveError("a ledger needs a data centre and a holder");
    for (const auto& budget : settings.budgets) {
        if (budget.minimumAvailablePercent > hundredPercent)
            return WaveError("budget of " + budget.service + " is above 100 percent");
    }
    auto state = std::make_unique<Private>();
    state->settings = std::move(settings);
    return std::unique_ptr<BudgetLedger>(new BudgetLedger(std::move(state)));
}

BudgetLedger::BudgetLedger(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

BudgetLedger::~BudgetLedger() = default;

std::vector<PlatformAction> BudgetLedger::load()
{
    if (isBusy())
        return {};
    return m_private->startReading();
}

bool BudgetLedger::isLoaded() const
{
    return m_private->loaded;
}

bool BudgetLedger::isBusy() const
{
    return m_private->writeToken || m_private->reading;
}

std::vector<Reservation> BudgetLedger::reservations() const
{
    std::map<std::string, Reservation> unique;
    for (const auto& [key, stored] : m_private->cache.budgets) {
        for (const auto& it : stored.record.reserved)
            unique.emplace(it.upstream, it);
    }
    std::vector<Reservation> reservations;
    reservations.reserve(unique.size());
    for (auto& [name, it] : unique)
        reservations.push_back(std::move(it));
    return reservations;
}

std::set<std::string> BudgetLedger::reservedHosts() const
{
    std::set<std::string> names;
    for (const auto& [key, stored] : m_private->cache.budgets) {
        for (const auto& it : stored.record.reserved)
            names.insert(it.upstream);
    }
    return names;
}

std::set<std::string> BudgetLedger::finishedHosts(const std::string& wave) const
{
    const auto prefix = waveProgressKey(m_private->settings.dataCentre, wave, "");
    std::set<std::string> names;
    const auto& racks = m_private->cache.racks;
    for (auto it = racks.lower_bound(prefix); it != racks.end() && it->first.starts_with(prefix); ++it)
        names.insert(it->second.record.done.begin(), it->second.record.done.end());
    return names;
}

AvailabilityByPool BudgetLedger::availabilityByPool(const FleetView& view) const
{
    return PoolAvailability::countAll(view, reservedHosts(), m_private->settings.budgets, m_private->settings.guards);
}

bool BudgetLedger::mayReserve(const FleetView& view, const HostView& host) const
{
    if (!host.serving || host.health != HostHealth::Up || reservedHosts().contains(host.name))
        return false;
    const auto availability = availabilityByPool(view)[host.pool];
    return isWithinBudget(availability.tally, host.rack, availability.required, floorOf(view, host.pool));
}

bool BudgetLedger::isBelowBudget(const FleetView& view, const std::string& pool) const
{
    const auto availability = availabilityByPool(view)[pool];
    return availability.tally.available() < availability.required;
}

std::vector<PlatformAction> BudgetLedger::submit(const FleetView& view, const std::vector<LedgerChange>& changes)
{
    if (isBusy() || !isLoaded())
        return {};
    m_private->pending = {};
    const HostIndex hosts(view);
    auto availabilityByPool = this->availabilityByPool(view);
    std::set<std::string> taken = reservedHosts();
    for (const auto& change : changes) {
        if (m_private->pending.budgets.size() + m_private->pending.racks.size() + 1 >= maximumRecordsPerWrite)
            break;
        if (change.kind == LedgerChange::Kind::Reserve) {
            const auto* host = hosts.find(change.entry.upstream);
            if (!host || !host->serving || host->health != HostHealth::Up || !taken.insert(host->name).second)
                continue;
            auto& availability = availabilityByPool[change.pool];
            if (!isWithinBudget(availability.tally, host->rack, availability.required, floorOf(view, change.pool)))
                continue;
            availability.tally.remove(host->rack);
        }
        m_private->apply(change);
    }
    if (m_private->pending.budgets.empty() && m_private->pending.racks.empty())
        return {};
    return { m_private->buildWrite() };
}

std::vector<PlatformAction> BudgetLedger::handle(const PlatformReplied& event)
{
    auto& state = *m_private;
    if (!event.token)
        return {};
    if (event.token == state.writeToken) {
        state.handleWriteReply(event.reply);
        return state.loaded ? std::vector<PlatformAction> {} : state.startReading();
    }
    if (event.token != state.budgetsToken && event.token != state.racksToken)
        return {};
    bool ok = event.reply.status == Ports::PlatformStatus::Ok;
    if (event.token == state.budgetsToken) {
        state.budgetsToken = 0;
        ok = ok && state.handleBudgetsReply(event.reply);
    } else {
        state.racksToken = 0;
        ok = ok && state.handleRacksReply(event.reply);
    }
    return state.finishReading(ok);
}

} // namespace Decision
