#include "Decision/Requests/Ledger.h"

#include "Common/Rendezvous.h"
#include "Decision/Requests/IdempotencyKey.h"

#include <algorithm>
#include <utility>

namespace Decision {

using Messages::ClaimVerdict;

namespace {

    constexpr std::size_t holderCount = 2;
    constexpr std::size_t recordsPerHandover = 256;
    constexpr std::size_t answerBytesPerHandover = 2 << 20;
    constexpr unsigned incarnationShift = 32; ///< The upper half of a token names the claimant's start.

    /// Records are kept by the time inside the key, so that every holder drops them at the same time.
    WallTime issuedOf(const Messages::ClaimKey& key)
    {
        const auto parsed = IdempotencyKey::parse(key.idempotencyKey);
        return parsed ? parsed->issued : WallTime::min();
    }

    std::size_t answerSize(const Answer& answer)
    {
        return answer.body ? answer.body->size() : 0;
    }

} // namespace

Ledger::Ledger(HostId self, const RequestLimits& limits, const RequestGuards& guards)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_guards(guards)
{
}

std::vector<HostId> Ledger::holdersOf(const std::string& pool) const
{
    return Common::rendezvousTop(pool, m_view.members, holderCount);
}

bool Ledger::isHolder(const std::string& pool) const
{
    const auto holders = holdersOf(pool);
    return std::find(holders.begin(), holders.end(), m_self) != holders.end();
}

void Ledger::setView(WallTime now, LedgerView view, const std::vector<std::string>& pools, bool stayedMember)
{
    if (m_hasView && view.epoch < m_view.epoch)
        return;
    const bool sameView = m_hasView && view.epoch == m_view.epoch;
    // A view that this host never saw may have been without it, and claims may then have been made without it. While it
    // is a member, new holders wait for its hand-over in their own view, so nothing is claimed in a view that it skips.
    const bool continuous = m_hasView && (view.epoch == m_view.epoch + 1 || (view.epoch > m_view.epoch && stayedMember));
    const LedgerView old = std::exchange(m_view, std::move(view));
    m_hasView = true;
    for (const auto& pool : pools) {
        if (sameView && m_memories.count(pool))
            continue;
        changeMemory(now, pool, continuous, Common::rendezvousTop(pool, old.members, holderCount));
    }
}

void Ledger::changeMemory(WallTime now, const std::string& pool, bool continuous, const std::vector<HostId>& oldHolders)
{
    PoolMemory& memory = m_memories[pool];
    const bool wasHolder = std::find(oldHolders.begin(), oldHolders.end(), m_self) != oldHolders.end();
    const bool kept = continuous && wasHolder && memory.vouchSince.has_value();
    memory.offered = kept ? memory.vouchSince : std::nullopt;
    memory.awaited.clear();
    memory.bestOffer.reset();
    if (isHolder(pool) && kept)
        return;
    memory.vouchSince.reset();
    if (!isHolder(pool))
        return;
    memory.awaited.insert(m_view.members.begin(), m_view.members.end());
    memory.awaited.erase(m_self);
    settleMemory(now, memory);
}

void Ledger::settleMemory(WallTime now, PoolMemory& memory) const
{
    if (!memory.awaited.empty())
        return;
    memory.vouchSince = memory.bestOffer.value_or(now);
}

std::vector<SendPeer> Ledger::openQueries() const
{
    std::vector<SendPeer> queries;
    for (const auto& [pool, memory] : m_memories) {
        for (const auto& member : memory.awaited)
            queries.push_back({ member, Messages::LedgerQuery { pool, m_view.epoch } });
    }
    return queries;
}

std::vector<SendPeer> Ledger::answerQuery(const HostId& from, const Messages::LedgerQuery& query) const
{
    std::vector<SendPeer> parts;
    const auto memory = m_memories.find(query.pool);
    if (query.viewEpoch != m_view.epoch || memory == m_memories.end())
        return parts;
    Messages::LedgerHandover part { query.pool, m_view.epoch, memory->second.offered.value_or(WallTime::max()), {}, false };
    std::size_t bytes = 0;
    // Records are handed over even without a whole memory: each one is true by itself.
    auto it = m_entries.lower_bound(Messages::ClaimKey { query.pool, {}, {} });
    for (; it != m_entries.end() && it->first.pool == query.pool; ++it) {
        const LedgerEntry& entry = it->second;
        part.records.push_back({ it->first, entry.bodyHash, entry.token, entry.claimant, entry.finished, entry.answer });
        bytes += answerSize(entry.answer);
        if (part.records.size() < recordsPerHandover && bytes < answerBytesPerHandover)
            continue;
        parts.push_back({ from, part });
        part.records.clear();
        bytes = 0;
    }
    part.last = true;
    parts.push_back({ from, std::move(part) });
    return parts;
}

void Ledger::handover(const HostId& from, const Messages::LedgerHandover& message, WallTime now)
{
    const auto it = m_memories.find(message.pool);
    if (message.viewEpoch != m_view.epoch || it == m_memories.end() || !it->second.awaited.count(from))
        return;
    for (const auto& record : message.records) {
        const auto known = m_entries.find(record.key);
        if (known != m_entries.end() && (known->second.finished || !record.finished))
            continue;
        LedgerEntry entry;
        entry.bodyHash = record.bodyHash;
        entry.token = record.token;
        entry.claimant = record.claimant;
        insert(record.key, entry);
        if (record.finished)
            finish(record.key, record.answer);
    }
    if (!message.last)
        return;
    PoolMemory& memory = it->second;
    if (message.recordsCompleteSince != WallTime::max())
        memory.bestOffer = std::min(memory.bestOffer.value_or(message.recordsCompleteSince), message.recordsCompleteSince);
    memory.awaited.erase(from);
    settleMemory(now, memory);
}

bool Ledger::sameClaimant(const LedgerEntry& entry, const HostId& from, std::uint64_t token) const
{
    return !entry.finished && entry.claimant == from && (entry.token >> incarnationShift) == (token >> incarnationShift);
}

LedgerVerdict Ledger::verdictOf(const LedgerEntry& entry, std::uint64_t bodyHash) const
{
    if (entry.bodyHash != bodyHash)
        return { ClaimVerdict::OtherBody, {} };
    if (!entry.finished)
        return { ClaimVerdict::Running, {} };
    if (!entry.answerHeld)
        return { ClaimVerdict::Finished, unknown(Reason::AnswerExpired) };
    return { ClaimVerdict::Finished, entry.answer };
}

bool Ledger::isTooOld(WallTime now, const Messages::ClaimKey& key) const
{
    const WallTime issued = issuedOf(key);
    if (issued + m_limits.claimRetention < now)
        return true;
    // The clocks of the caller, of the host that let it in and of this one each may be apart, and both ways add up.
    const auto began = recordsCompleteSince(key.pool);
    return !began || issued <= *began + 2 * m_limits.clockSkew;
}

LedgerVerdict Ledger::look(WallTime now, const Messages::ClaimKey& key, std::uint64_t bodyHash) const
{
    const auto it = m_entries.find(key);
    if (it != m_entries.end())
        return verdictOf(it->second, bodyHash);
    if (!m_guards.memoryVouched)
        return { ClaimVerdict::Granted, {} };
    if (!vouchesFor(key.pool))
        return { ClaimVerdict::StaleView, {} };
    if (isTooOld(now, key))
        return { ClaimVerdict::ExpiredKey, {} };
    return { ClaimVerdict::Granted, {} };
}

LedgerVerdict Ledger::claim(WallTime now, const HostId& from, const Messages::ClaimRequest& request)
{
    if (m_guards.viewEpochChecked && request.viewEpoch != m_view.epoch)
        return { ClaimVerdict::StaleView, {} };
    if (!isHolder(request.key.pool))
        return { request.allMembers ? ClaimVerdict::Granted : ClaimVerdict::StaleView, {} };
    const auto it = m_entries.find(request.key);
    if (it != m_entries.end()) {
        LedgerEntry& entry = it->second;
        if (entry.bodyHash != request.bodyHash || !sameClaimant(entry, from, request.token))
            return verdictOf(entry, request.bodyHash);
        entry.token = request.token;
        return { ClaimVerdict::Granted, {} };
    }
    LedgerVerdict verdict = look(now, request.key, request.bodyHash);
    if (verdict.verdict != ClaimVerdict::Granted)
        return verdict;
    if (m_entries.size() >= m_limits.maximumRecords)
        return { ClaimVerdict::Full, {} };
    LedgerEntry entry;
    entry.bodyHash = request.bodyHash;
    entry.token = request.token;
    entry.claimant = from;
    insert(request.key, std::move(entry));
    return { ClaimVerdict::Granted, {} };
}

void Ledger::insert(const Messages::ClaimKey& key, LedgerEntry entry)
{
    const auto [it, added] = m_entries.insert_or_assign(key, std::move(entry));
    if (added)
        m_byIssue.emplace(issuedOf(key), key);
}

void Ledger::finish(const Messages::ClaimKey& key, const Answer& answer)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || it->second.finished)
        return;
    it->second.finished = true;
    holdAnswer(key, it->second, answer);
}

void Ledger::holdAnswer(const Messages::ClaimKey& key, LedgerEntry& entry, const Answer& answer)
{
    entry.answer = answer;
    entry.answerHeld = true;
    m_answerBytes += answerSize(answer);
    m_answerOrder.push_back(key);
    dropOldestAnswers();
}

void Ledger::dropOldestAnswers()
{
    while (m_answerBytes > m_limits.maximumAnswerBytes && !m_answerOrder.empty()) {
        const auto it = m_entries.find(m_answerOrder.front());
        m_answerOrder.pop_front();
        if (it == m_entries.end() || !it->second.answerHeld)
            continue;
        m_answerBytes -= answerSize(it->second.answer);
        it->second.answerHeld = false;
        it->second.answer = {};
    }
}

void Ledger::release(const Messages::ClaimKey& key, std::uint64_t token)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || it->second.finished || it->second.token != token)
        return;
    const auto [first, last] = m_byIssue.equal_range(issuedOf(key));
    const auto issue = std::find_if(first, last, [&](const auto& item) { return item.second == key; });
    if (issue != last)
        m_byIssue.erase(issue);
    m_entries.erase(it);
}

bool Ledger::vouchesFor(const std::string& pool) const
{
    return recordsCompleteSince(pool).has_value();
}

std::optional<WallTime> Ledger::recordsCompleteSince(const std::string& pool) const
{
    const auto it = m_memories.find(pool);
    if (it == m_memories.end())
        return std::nullopt;
    return it->second.vouchSince;
}

void Ledger::prune(WallTime now)
{
    // Claims on keys past their retention are refused, so a record may go once no holder's clock can still take it.
    const WallTime limit = now - m_limits.claimRetention - 2 * m_limits.clockSkew;
    while (!m_byIssue.empty() && m_byIssue.begin()->first < limit) {
        const auto it = m_entries.find(m_byIssue.begin()->second);
        if (it != m_entries.end()) {
            if (it->second.answerHeld)
                m_answerBytes -= answerSize(it->second.answer);
            m_entries.erase(it);
        }
        m_byIssue.erase(m_byIssue.begin());
    }
    while (!m_answerOrder.empty() && !m_entries.count(m_answerOrder.front()))
        m_answerOrder.pop_front();
}

} // namespace Decision
