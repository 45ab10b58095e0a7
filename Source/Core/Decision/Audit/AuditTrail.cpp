#include "Decision/Audit/AuditTrail.h"

#include "Common/CompactJson.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>
#include <utility>

namespace Decision {

namespace {

    std::string encodeRecord(const AuditRecord& record)
    {
        Json::Value root;
        root["who"] = record.who;
        root["what"] = record.what;
        root["when"] = Json::Int64(record.when.time_since_epoch().count());
        root["why"] = record.why;
        root["revision"] = Json::UInt64(record.revision);
        root["host"] = record.host;
        root["sequence"] = Json::UInt64(record.sequence);
        return Common::compactJson(root) + "\n";
    }

    std::optional<AuditRecord> decodeRecord(std::string_view line)
    {
        const auto root = Common::parseJsonObject(line);
        if (!root)
            return std::nullopt;
        try {
            const Common::WallTime when { std::chrono::milliseconds((*root)["when"].asInt64()) };
            return AuditRecord { (*root)["who"].asString(), (*root)["what"].asString(), when, (*root)["why"].asString(),
                (*root)["revision"].asUInt64(), (*root)["host"].asString(), (*root)["sequence"].asUInt64() };
        } catch (const Json::Exception&) {
            return std::nullopt;
        }
    }

    /// Year, month and day in UTC, as eight digits.
    std::string dayOf(Common::WallTime when)
    {
        const std::chrono::year_month_day day { std::chrono::floor<std::chrono::days>(when) };
        std::array<char, 32> buf {};
        std::snprintf(buf.data(), buf.size(), "%04d%02u%02u", static_cast<int>(day.year()), static_cast<unsigned>(day.month()),
            static_cast<unsigned>(day.day()));
        return buf.data();
    }

} // namespace

std::string auditPrefix(const std::string& dataCentre)
{
    return "/marigold/audit/" + dataCentre + "/";
}

std::vector<AuditRecord> decodeAuditBatch(std::string_view text)
{
    std::vector<AuditRecord> records;
    std::istringstream lines { std::string(text) };
    for (std::string line; std::getline(lines, line);) {
        if (auto record = decodeRecord(line))
            records.push_back(std::move(*record));
    }
    return records;
}

Common::Result<std::unique_ptr<AuditTrail>, DecisionError> AuditTrail::create(AuditSettings settings, AuditGuards guards)
{
    if (settings.self.empty() || settings.dataCentre.empty() || !settings.incarnation)
        return DecisionError("the audit trail needs a host name, a data centre and an incarnation");
    // JSON encodes a control character as 6 characters.
    if (6 * settings.maximumRecordBytes > 2 * settings.maximumBatchBytes)
        return DecisionError("the size limit of an audit record must be at most a third of the batch limit");
    return std::unique_ptr<AuditTrail>(new AuditTrail(std::move(settings), guards));
}

AuditTrail::AuditTrail(AuditSettings settings, AuditGuards guards)
    : m_settings(std::move(settings))
    , m_guards(guards)
    , m_retryDelay(m_settings.firstRetryDelay)
{
}

void AuditTrail::record(Common::Instant now, AuditRecord record)
{
    record.host = m_settings.self;
    record.sequence = m_recordSequence + 1;
    record.what.resize(std::min(record.what.size(), m_settings.maximumRecordBytes / 2));
    record.why.resize(std::min(record.why.size(), m_settings.maximumRecordBytes / 2));
    std::string text = encodeRecord(record);
    if (m_waitingBytes + text.size() > m_settings.maximumWaitingBytes) {
        ++m_lostRecords;
        return;
    }
    ++m_recordSequence;
    m_waitingBytes += text.size();
    m_lines.push_back({ std::move(text), record.when });
    if (!m_flushAt)
        m_flushAt = now + m_settings.flushInterval;
    tick(now);
}

void AuditTrail::flush(Common::Instant now)
{
    if (!m_lines.empty())
        m_flushAt = now;
    tick(now);
}

void AuditTrail::tick(Common::Instant now)
{
    if (m_call != Call::None)
        return;
    if (m_batch) {
        if (m_retryAt && now >= *m_retryAt)
            sendBatch();
        return;
    }
    const bool isFull = m_lines.size() >= m_settings.flushRecords || m_waitingBytes >= m_settings.maximumBatchBytes;
    if (m_lines.empty() || (!isFull && m_flushAt && now < *m_flushAt))
        return;
    sealBatch();
    m_flushAt.reset();
    if (!m_lines.empty())
        m_flushAt = now + m_settings.flushInterval;
    sendBatch();
}

/// Moves as many lines as fit into one batch, so that a backlog takes few writes.
void AuditTrail::sealBatch()
{
    Batch batch;
    batch.key = batchKey(m_lines.front().when);
    while (!m_lines.empty() && (!batch.records || batch.text.size() + m_lines.front().text.size() <= m_settings.maximumBatchBytes)) {
        batch.text += m_lines.front().text;
        ++batch.records;
        m_lines.pop_front();
    }
    m_batch = std::move(batch);
}

std::string AuditTrail::batchKey(Common::WallTime when) const
{
    std::array<char, 64> buf {};
    std::snprintf(buf.data(), buf.size(), "-%016llx-%010llu", static_cast<unsigned long long>(m_settings.incarnation),
        static_cast<unsigned long long>(m_batchSequence));
    return auditPrefix(m_settings.dataCentre) + dayOf(when) + "/" + m_settings.self + buf.data();
}

void AuditTrail::sendBatch()
{
    Ports::Transaction transaction;
    if (m_guards.createOnly)
        transaction.compares.push_back({ m_batch->key, 0 });
    transaction.puts.push_back({ m_batch->key, m_batch->text, 0 });
    m_retryAt.reset();
    m_call = Call::Write;
    m_token = m_nextToken++;
    m_actions.push_back(PlatformTransact { m_token, std::move(transaction) });
}

void AuditTrail::handle(Common::Instant now, const PlatformReplied& event)
{
    if (m_call == Call::None || event.token != m_token)
        return;
    const Call call = std::exchange(m_call, Call::None);
    const auto status = event.reply.status;
    if (call == Call::ReadBack) {
        onReadBack(now, event.reply);
    } else if (status == Ports::PlatformStatus::Ok || !m_guards.keepUntilWritten) {
        onWritten();
    } else if (status == Ports::PlatformStatus::ComparesFailed) {
        // Most likely this host's own earlier write, whose answer was lost.
        m_call = Call::ReadBack;
        m_token = m_nextToken++;
        m_actions.push_back(PlatformRead { m_token, m_batch->key, false });
    } else {
        retryLater(now);
    }
    tick(now);
}

void AuditTrail::onReadBack(Common::Instant now, const Ports::PlatformReply& reply)
{
    if (reply.status != Ports::PlatformStatus::Ok || reply.values.empty()) {
        retryLater(now);
        return;
    }
    if (reply.values.front().value == m_batch->text) {
        onWritten();
        return;
    }
    // Another batch exists under the key: this one goes under the next sequence number.
    const auto records = decodeAuditBatch(m_batch->text);
    ++m_batchSequence;
    m_batch->key = batchKey(records.empty() ? Common::WallTime {} : records.front().when);
    retryLater(now);
}

void AuditTrail::onWritten()
{
    m_waitingBytes -= m_batch->text.size();
    m_batch.reset();
    ++m_batchSequence;
    m_retryDelay = m_settings.firstRetryDelay;
}

void AuditTrail::retryLater(Common::Instant now)
{
    m_retryAt = now + m_retryDelay;
    m_retryDelay = std::min(2 * m_retryDelay, m_settings.maximumRetryDelay);
}

std::optional<Common::Instant> AuditTrail::nextDeadline() const
{
    if (m_call != Call::None)
        return std::nullopt;
    return m_batch ? m_retryAt : m_flushAt;
}

std::vector<PlatformAction> AuditTrail::takeActions()
{
    return std::exchange(m_actions, {});
}

std::size_t AuditTrail::waitingRecords() const
{
    return m_lines.size() + (m_batch ? m_batch->records : 0);
}

} // namespace Decision
