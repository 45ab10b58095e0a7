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
    constexpr unsigned incarnationShift = 32; ///< The upper 32 bits of a token hold the claimant's incarnation.

    /// Retention counts from the time inside the key, so that all holders drop a record at the same time.
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
    // In a view that this host missed, it may not have been a member, and claims may have been granted without it. As long
    // as it is a member, new holders wait for its hand-over in their own view, so no claim is granted in a view it skips.
    const bool continuous = m_hasView && (view.epoch == m_view.epoch + 1 || (view.epoch > m_view.epoch && stayedMember));
    const LedgerView old = std::exchange(m_view, std::move(view));
    m_hasView = true;
    for (const auto& pool : pools) {
        if (sameView && m_coverages.count(pool))
            continue;
        updateCoverage(now, pool, continuous, Common::rendezvousTop(pool, old.members, holderCount));
    }
}

void Ledger::updateCoverage(WallTime now, const std::string& pool, bool continuous, const std::vector<HostId>& oldHolders)
{
    PoolCoverage& coverage = m_coverages[pool];
    const bool wasHolder = std::find(oldHolders.begin(), oldHolders.end(), m_self) != oldHolders.end();
    const bool kept = continuous && wasHolder && coverage.completeSince.has_value();
    coverage.offeredSince = kept ? coverage.completeSince : std::nullopt;
    coverage.awaited.clear();
    coverage.earliestOffer.reset();
    if (isHolder(pool) && kept)
        return;
    coverage.completeSince.reset();
    if (!isHolder(pool))
        return;
    coverage.awaited.insert(m_view.members.begin(), m_view.members.end());
    coverage.awaited.erase(m_self);
    settleCoverage(now, coverage);
}

void Ledger::settleCoverage(WallTime now, PoolCoverage& coverage) const
{
    if (!coverage.awaited.empty())
        return;
    coverage.completeSince = coverage.earliestOffer.value_or(now);
}

std::vector<SendPeer> Ledger::openQueries() const
{
    std::vector<SendPeer> queries;
    for (const auto& [pool, coverage] : m_coverages) {
        for (const auto& member : coverage.awaited)
            queries.push_back({ member, Messages::LedgerQuery { pool, m_view.epoch } });
    }
    return queries;
}

std::vector<SendPeer> Ledger::answerQuery(const HostId& from, const Messages::LedgerQuery& query) const
{
    std::vector<SendPeer> parts;
    const auto coverage = m_coverages.find(query.pool);
    if (query.viewEpoch != m_view.epoch || coverage == m_coverages.end())
        return parts;
    Messages::LedgerHandover part { query.pool, m_view.epoch, coverage->second.offeredSince.value_or(WallTime::max()), {}, false };
    std::size_t bytes = 0;
    // Records are handed over even if they aren't complete, since each one is valid by itself.
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
    const auto it = m_coverages.find(message.pool);
    if (message.viewEpoch != m_view.epoch || it == m_coverages.end() || !it->second.awaited.count(from))
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
    PoolCoverage& coverage = it->second;
    if (message.recordsCompleteSince != WallTime::max())
        coverage.earliestOffer = std::min(coverage.earliestOffer.value_or(message.recordsCompleteSince), message.recordsCompleteSince);
    coverage.awaited.erase(from);
    settleCoverage(now, coverage);
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
    if (!entry.answerStored)
        return { ClaimVerdict::Finished, unknown(Reason::AnswerExpired) };
    return { ClaimVerdict::Finished, entry.answer };
}

bool Ledger::isTooOld(WallTime now, const Messages::ClaimKey& key) const
{
    const WallTime issued = issuedOf(key);
    if (issued + m_limits.claimRetention < now)
        return true;
    // The key's time may be off by the skew between caller and admitting host plus the skew between that host and this one.
    const auto completeSince = recordsCompleteSince(key.pool);
    return !completeSince || issued <= *completeSince + 2 * m_limits.clockSkew;
}

LedgerVerdict Ledger::peek(WallTime now, const Messages::ClaimKey& key, std::uint64_t bodyHash) const
{
    const auto it = m_entries.find(key);
    if (it != m_entries.end())
        return verdictOf(it->second, bodyHash);
    if (!m_guards.recordCoverageChecked)
        return { ClaimVerdict::Granted, {} };
    if (!hasCompleteRecords(key.pool))
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
    LedgerVerdict verdict = peek(now, request.key, request.bodyHash);
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
    storeAnswer(key, it->second, answer);
}

void Ledger::storeAnswer(const Messages::ClaimKey& key, LedgerEntry& entry, const Answer& answer)
{
    entry.answer = answer;
    entry.answerStored = true;
    m_answerBytes += answerSize(answer);
    m_answerOrder.push_back(key);
    dropOldestAnswers();
}

void Ledger::dropOldestAnswers()
{
    while (m_answerBytes > m_limits.maximumAnswerBytes && !m_answerOrder.empty()) {
        const auto it = m_entries.find(m_answerOrder.front());
        m_answerOrder.pop_front();
        if (it == m_entries.end() || !it->second.answerStored)
            continue;
        m_answerBytes -= answerSize(it->second.answer);
        it->second.answerStored = false;
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

bool Ledger::hasCompleteRecords(const std::string& pool) const
{
    return recordsCompleteSince(pool).has_value();
}

std::optional<WallTime> Ledger::recordsCompleteSince(const std::string& pool) const
{
    const auto it = m_coverages.find(pool);
    if (it == m_coverages.end())
        return std::nullopt;
    return it->second.completeSince;
}

void Ledger::prune(WallTime now)
{
    // Claims on keys past their retention are refused, so a record can be dropped once no holder's clock can still accept the key.
    const WallTime limit = now - m_limits.claimRetention - 2 * m_limits.clockSkew;
    while (!m_byIssue.empty() && m_byIssue.begin()->first < limit) {
        const auto it = m_entries.find(m_byIssue.begin()->second);
        if (it != m_entries.end()) {
            if (it->second.answerStored)
                m_answerBytes -= answerSize(it->second.answer);
            m_entries.erase(it);
        }
        m_byIssue.erase(m_byIssue.begin());
    }
    while (!m_answerOrder.empty() && !m_entries.count(m_answerOrder.front()))
        m_answerOrder.pop_front();
}

} // namespace Decision
