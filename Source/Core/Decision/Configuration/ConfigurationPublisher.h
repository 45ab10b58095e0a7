#pragma once

/// Publishes configuration changes: writes the chunks of a document first, then changes the head by one compare-and-swap.

#include "Common/Result.h"
#include "Common/Time.h"
#include "Decision/Configuration/ConfigurationValidator.h"
#include "Decision/Configuration/HeadRecord.h"
#include "Decision/Membership/DecisionError.h"
#include "Decision/Membership/PlatformActions.h"

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

/// A change submitted by an operator.
struct PublishRequest {
    std::uint64_t ticket = 0; ///< Echoed in the result; for the caller's use.
    std::uint64_t baseRevision = 0; ///< The revision that the change was made on; zero for the first change.
    std::string changeId; ///< Unique; a retry uses the same one.
    std::string document;
    std::string author;
    std::string reason;
};

/// How a publication ended.
enum class PublishStatus {
    Accepted, ///< The change is accepted, now or by an earlier attempt.
    Conflict, ///< Not accepted: another change has the revision after the base.
    Invalid, ///< Not accepted: the document or the request has faults.
    Unavailable, ///< Not accepted: the store couldn't be reached before the timeout.
    Unsettled, ///< It may be accepted; publishing with the same change id later settles it.
};

/// Result of a publication.
struct PublishResult {
    std::uint64_t ticket = 0;
    std::string changeId;
    PublishStatus status = PublishStatus::Unsettled;
    std::uint64_t revision = 0; ///< Of the change; set for Accepted.
    std::uint64_t currentRevision = 0; ///< In force, as far as known; set for Conflict and Unsettled.
    std::string currentChangeId; ///< In force, as far as known; set for Conflict and Unsettled.
    std::string currentAuthor; ///< In force, as far as known; set for Conflict and Unsettled.
    std::vector<std::string> faults; ///< Set for Invalid.
};

/// Limits and retries of publications.
struct PublisherSettings {
    std::chrono::milliseconds retryInterval { 300 }; ///< After a store call that failed.
    std::chrono::milliseconds timeout { 15000 }; ///< Of one publication, counted from when it leaves the queue.
    std::size_t maximumDocumentBytes = 6 << 20;
};

/// Safeguards, all on in production. Tests turn one off to show what it prevents.
struct PublisherGuards {
    bool settleByReading = true; ///< A lost answer is settled by reading the change ids in the head.
    bool compareHead = true; ///< The head changes by compare-and-swap on the base.
};

/// Publishes one change at a time, in the order of the requests. The caller runs the actions and returns the replies. No I/O; not
/// thread-safe.
class ConfigurationPublisher {
public:
    /// The validator must outlive the publisher. Fails unless the timeout is longer than the retry interval.
    static Common::Result<std::unique_ptr<ConfigurationPublisher>, DecisionError> create(
        PublisherSettings, const ConfigurationValidator&, PublisherGuards = {});

    /// Queues a change. Its result, also for an invalid one, comes from takeResults().
    void publish(Common::Instant now, PublishRequest);
    /// Ignores replies to calls that this core didn't make.
    void handle(Common::Instant now, const PlatformReplied&);
    /// Starts the next publication, or the retry that is due.
    void tick(Common::Instant now);
    /// The change in force on this host. While the head in the store is older, as in a store restored from a backup, only a change
    /// based on this revision replaces it.
    void setInForce(AcceptedChange);

    /// When tick() is due; nothing unless a retry waits.
    std::optional<Common::Instant> nextDeadline() const;
    /// Store calls to make since the last takeActions().
    std::vector<PlatformAction> takeActions();
    /// Results since the last takeResults(), in the order of the requests.
    std::vector<PublishResult> takeResults();

private:
    ConfigurationPublisher(PublisherSettings, const ConfigurationValidator&, PublisherGuards);

    enum class Call {
        None,
        ReadHead,
        WriteChunk,
        WriteHead,
    };

    void begin(Common::Instant now);
    void readHead();
    void onHeadRead(Common::Instant now, const Ports::PlatformReply&);
    bool settle();
    void writeNextChunk();
    void onChunkWritten(Common::Instant now, const Ports::PlatformReply&);
    void writeHead();
    void onHeadWritten(Common::Instant now, const Ports::PlatformReply&);
    HeadRecord nextHead() const;
    std::uint64_t currentRevision() const;
    bool isTakenByOther(std::uint64_t revision) const;
    void retryLater(Common::Instant now);
    void finish(PublishStatus, std::uint64_t revision = 0);
    void transact(Call, Ports::Transaction);

    PublisherSettings m_settings;
    const ConfigurationValidator& m_validator;
    PublisherGuards m_guards;
    std::deque<PublishRequest> m_queue; ///< The first one is being published.
    std::vector<Chunk> m_chunks;
    std::string m_documentHash;
    std::size_t m_chunksWritten = 0;
    bool m_isPublishing = false;
    bool m_mayHaveWrittenHead = false; ///< A head write had no answer and may have taken effect.
    Common::Instant m_deadline {};
    HeadRecord m_head;
    std::int64_t m_headRevision = 0;
    std::uint64_t m_writtenRevision = 0; ///< Of the last head write.
    AcceptedChange m_inForce;
    Call m_call = Call::None;
    PlatformToken m_token = 0;
    PlatformToken m_nextToken = 1;
    std::optional<Common::Instant> m_retryAt;
    std::vector<PlatformAction> m_actions;
    std::vector<PublishResult> m_results;
};

} // namespace Decision
