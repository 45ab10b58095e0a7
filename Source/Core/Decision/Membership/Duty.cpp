#include "Decision/Membership/Duty.h"

#include "Common/CompactJson.h"
#include "Common/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace Decision {

namespace {

    /// Alive members that poll a duty's key and may acquire it.
    constexpr std::size_t candidateCount = 2;

} // namespace

std::string dutyKey(const std::string& name)
{
    return "/marigold/duties/" + name;
}

std::string encodeDuty(const DutyRecord& record)
{
    Json::Value root;
    root["holder"] = record.holder;
    root["incarnation"] = Json::UInt64(record.incarnation);
    root["fence"] = Json::UInt64(record.fence);
    root["lease"] = Json::Int64(record.lease);
    return Common::compactJson(root);
}

std::optional<DutyRecord> decodeDuty(std::string_view text)
{
    const auto root = Common::parseJsonObject(text);
    if (!root)
        return std::nullopt;
    try {
        return DutyRecord { (*root)["holder"].asString(), (*root)["incarnation"].asUInt64(), (*root)["fence"].asUInt64(),
            (*root)["lease"].asInt64() };
    } catch (const Json::Exception&) {
        return std::nullopt;
    }
}

Common::Result<std::unique_ptr<DutyHolder>, DecisionError> DutyHolder::create(DutySettings settings, DutyGuards guards)
{
    if (settings.name.empty() || settings.self.empty())
        return DecisionError("a duty needs a name and a host name");
    return std::unique_ptr<DutyHolder>(new DutyHolder(std::move(settings), guards));
}

DutyHolder::DutyHolder(DutySettings settings, DutyGuards guards)
    : m_settings(std::move(settings))
    , m_guards(guards)
{
}

void DutyHolder::tick(Common::Instant now, const DutyContext& context)
{
    m_context = context;
    if (m_held && m_context.lease != m_record.lease)
        m_held = false;
    if (m_call != Call::None || m_held || now < m_nextPoll)
        return;
    m_nextPoll = now + m_settings.pollInterval;
    if (isCandidate())
        read();
}

bool DutyHolder::isCandidate() const
{
    if (!m_context.lease)
        return false;
    const auto candidates = Common::rendezvousTop(m_settings.name, m_context.aliveMembers, candidateCount);
    return std::find(candidates.begin(), candidates.end(), m_settings.self) != candidates.end();
}

void DutyHolder::read()
{
    m_call = Call::Read;
    m_token = m_nextToken++;
    m_actions.push_back(PlatformRead { m_token, dutyKey(m_settings.name), false });
}

void DutyHolder::handle(Common::Instant now, const PlatformReplied& event)
{
    if (m_call == Call::None || event.token != m_token)
        return;
    const Call call = std::exchange(m_call, Call::None);
    if (call == Call::Read) {
        onRead(now, event.reply);
        return;
    }
    // The duty counts as acquired only once the key is read back: this also settles a lost answer, and yields the key's revision.
    if (call == Call::Acquire && event.reply.status != Ports::PlatformStatus::NotSent)
        read();
}

void DutyHolder::onRead(Common::Instant now, const Ports::PlatformReply& reply)
{
    if (reply.status != Ports::PlatformStatus::Ok)
        return;
    if (reply.values.empty()) {
        if (isCandidate())
            acquire(reply);
        return;
    }
    const auto record = decodeDuty(reply.values.front().value);
    if (!record || record->holder != m_settings.self || record->incarnation != m_settings.incarnation)
        return;
    if (m_context.lease != record->lease || now >= m_context.leaseValidUntil)
        return;
    m_record = *record;
    m_modRevision = reply.values.front().modRevision;
    m_held = true;
}

void DutyHolder::acquire(const Ports::PlatformReply& reply)
{
    // The fencing token is the store revision at which the key was absent; every later holder reads at a higher one.
    const DutyRecord record { m_settings.self, m_settings.incarnation, static_cast<std::uint64_t>(reply.revision), *m_context.lease };
    const auto key = dutyKey(m_settings.name);
    m_call = Call::Acquire;
    m_token = m_nextToken++;
    m_actions.push_back(PlatformTransact { m_token, { { { key, 0 } }, { { key, encodeDuty(record), record.lease } }, {} } });
}

void DutyHolder::invalidate(Common::Instant now)
{
    m_held = false;
    m_nextPoll = now;
}

void DutyHolder::resign(Common::Instant now)
{
    if (!std::exchange(m_held, false) || m_call != Call::None)
        return;
    const auto key = dutyKey(m_settings.name);
    m_call = Call::Resign;
    m_token = m_nextToken++;
    m_nextPoll = now + 2 * m_settings.pollInterval;
    m_actions.push_back(PlatformTransact { m_token, { { { key, m_modRevision } }, {}, { key } } });
}

bool DutyHolder::holds(Common::Instant now) const
{
    return m_held && m_context.lease == m_record.lease && now < m_context.leaseValidUntil;
}

Ports::Transaction DutyHolder::fencedTransaction(Ports::Transaction transaction) const
{
    if (m_guards.fence)
        transaction.compares.push_back({ dutyKey(m_settings.name), m_modRevision });
    return transaction;
}

std::optional<Common::Instant> DutyHolder::nextDeadline() const
{
    if (m_call != Call::None)
        return std::nullopt;
    return m_held ? m_context.leaseValidUntil : m_nextPoll;
}

std::vector<PlatformAction> DutyHolder::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace Decision
