#pragma once

/// The audit trail: records are written to the store in batches, each under a key of its own.

#include "Common/Result.h"
#include "Common/Time.h"
#include "Decision/Membership/DecisionError.h"
#include "Decision/Membership/PlatformActions.h"
#include "Ports/PeerPort.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Decision {

/// One audited event. Host and sequence are filled in by AuditTrail.
struct AuditRecord {
    std::string who;
    std::string what;
    Common::WallTime when {};
    std::string why;
    std::uint64_t revision = 0; ///< Of the configuration in force.
    Ports::HostId host;
    std::uint64_t sequence = 0; ///< Counts up from 1 for each incarnation of a host, without gaps.
};

/// Identity of this host, and limits of batches and retries.
struct AuditSettings {
    Ports::HostId self;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds flushInterval { 5000 }; ///< A batch that isn't full waits this long for more records.
    std::size_t flushRecords = 64; ///< Queued records that make a batch full; so do maximumBatchBytes.
    std::size_t maximumBatchBytes = 256 << 10;
    std::size_t maximumRecordBytes = 64 << 10; ///< `what` and `why` are truncated to half of it each.
    std::size_t maximumWaitingBytes = 64 << 20; ///< Records beyond it are dropped and counted.
    std::chrono::milliseconds firstRetryDelay { 500 }; ///< Doubled after each attempt, up to the maximum.
    std::chrono::milliseconds maximumRetryDelay { 10000 };
};

/// Safeguards, all on in production. Tests turn one off to show what it prevents.
struct AuditGuards {
    bool keepUntilWritten = true; ///< A batch is kept until the store is known to have it.
    bool createOnly = true; ///< A batch never overwrites another one.
};

/// Prefix of the store keys of a data centre's batches.
std::string auditPrefix(const std::string& dataCentre);
/// Records of a batch as stored; lines that can't be decoded are left out.
std::vector<AuditRecord> decodeAuditBatch(std::string_view);

/// Writes audit records in batches, one at a time, each retried until the store has it. The caller runs the actions and returns the
/// replies. No I/O; not thread-safe.
class AuditTrail {
public:
    /// Fails without a host name, a data centre or an incarnation, and when maximumRecordBytes exceeds a third of maximumBatchBytes.
    static Common::Result<std::unique_ptr<AuditTrail>, DecisionError> create(AuditSettings, AuditGuards = {});

    /// Queues a record, or drops and counts it when maximumWaitingBytes would be exceeded.
    void record(Common::Instant now, AuditRecord);
    /// Writes the queued records without waiting for the flush interval; for a planned stop.
    void flush(Common::Instant now);
    /// Starts the batch or the retry that is due.
    void tick(Common::Instant now);
    /// Ignores replies to calls that this core didn't make.
    void handle(Common::Instant now, const PlatformReplied&);

    /// When tick() is due at the latest; nothing while a call is in flight or nothing waits.
    std::optional<Common::Instant> nextDeadline() const;
    /// Store calls to make since the last takeActions().
    std::vector<PlatformAction> takeActions();

    /// Records that the store isn't known to have yet.
    std::size_t waitingRecords() const;
    std::size_t waitingBytes() const { return m_waitingBytes; }
    /// Records dropped because of maximumWaitingBytes.
    std::uint64_t lostRecords() const { return m_lostRecords; }

private:
    struct Line {
        std::string text;
        Common::WallTime when;
    };
    struct Batch {
        std::string key;
        std::string text;
        std::size_t records = 0;
    };
    enum class Call {
        None,
        Write,
        ReadBack,
    };

    AuditTrail(AuditSettings, AuditGuards);
    void sealBatch();
    void sendBatch();
    void onReadBack(Common::Instant now, const Ports::PlatformReply&);
    void onWritten();
    void retryLater(Common::Instant now);
    std::string batchKey(Common::WallTime) const;

    AuditSettings m_settings;
    AuditGuards m_guards;
    std::deque<Line> m_lines;
    std::size_t m_waitingBytes = 0; ///< Of the queued lines and of the batch being written.
    std::optional<Batch> m_batch;
    std::uint64_t m_recordSequence = 0;
    std::uint64_t m_batchSequence = 0;
    std::uint64_t m_lostRecords = 0;
    std::optional<Common::Instant> m_flushAt;
    std::optional<Common::Instant> m_retryAt;
    std::chrono::milliseconds m_retryDelay;
    Call m_call = Call::None;
    PlatformToken m_token = 0;
    PlatformToken m_nextToken = 1;
    std::vector<PlatformAction> m_actions;
};

} // namespace Decision
