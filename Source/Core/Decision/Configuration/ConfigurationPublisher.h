#pragma once

/// Acceptance of configuration changes: chunks first, then one compare-and-swap of the head.

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

/// A change that an operator wants accepted.
struct PublishRequest {
    std::uint64_t ticket = 0; ///< Echoed in the result; for the caller's use.
    std::uint64_t baseRevision = 0; ///< That the change was made on; zero for the first.
    std::string changeId; ///< Unique; a retry uses the same one.
    std::string document;
    std::string author;
    std::string reason;
};

/// How a publication ended.
enum class PublishStatus {
    Accepted, ///< It is accepted, now or by an earlier try.
    Conflict, ///< Surely not accepted: another change took the revision after the base.
    Invalid, ///< Surely not accepted: the document or the request has faults.
    Unavailable, ///< Surely not accepted: the store can't be reached.
    Unsettled, ///< It may be accepted; the same change id tells later.
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

/// Times and sizes of publications.
struct PublisherSettings {
    std::chrono::milliseconds retryInterval { 300 };
    std::chrono::milliseconds timeout { 15000 }; ///< For one publication, from its first step.
    std::size_t maximumDocumentBytes = 6 << 20;
};

/// Safeguards; a test turns one off to show that its absence does harm.
struct PublisherGuards {
    bool settleByReading = true; ///< A lost answer is settled by the change ids in the head.
    bool compareHead = true; ///< The head changes by compare-and-swap on the base.
};

/// Publishes one change at a time, in the order asked. No I/O; not thread-safe.
class ConfigurationPublisher {
public:
    /// The validator must outlive the publisher.
    static Common::Result<std::unique_ptr<ConfigurationPublisher>, DecisionError> create(
        PublisherSettings, const ConfigurationValidator&, PublisherGuards = {});

    void publish(Common::Instant now, PublishRequest);
    void handle(Common::Instant now, const PlatformReplied&);
    void tick(Common::Instant now);
    /// What is in force here. A store whose head is older is published over only from this revision.
    void setInForce(AcceptedChange);

    std::optional<Common::Instant> nextDeadline() const;
    std::vector<PlatformAction> takeActions();
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
    std::deque<PublishRequest> m_queue; ///< The first one is under way.
    std::vector<Chunk> m_chunks;
    std::string m_documentHash;
    std::size_t m_chunksWritten = 0;
    bool m_isPublishing = false;
    bool m_mayHaveWrittenHead = false; ///< A head write may have taken effect.
    Common::Instant m_deadline {};
    HeadRecord m_head;
    std::int64_t m_headRevision = 0;
    std::uint64_t m_writtenRevision = 0; ///< In the head that was written last.
    AcceptedChange m_inForce;
    Call m_call = Call::None;
    PlatformToken m_token = 0;
    PlatformToken m_nextToken = 1;
    std::optional<Common::Instant> m_retryAt;
    std::vector<PlatformAction> m_actions;
    std::vector<PublishResult> m_results;
};

} // namespace Decision
