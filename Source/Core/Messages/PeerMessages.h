#pragma once

/// Messages between entry hosts. Codec.h encodes and decodes them.
/// Deadlines are sent as remaining durations, never as points in time, so that no two hosts' clocks are compared.

#include "Common/Time.h"
#include "Ports/CallerPort.h"
#include "Ports/PeerPort.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Messages {

using Ports::Answer;
using Ports::Bytes;
using Ports::HostId;

/// Asks the owner of the service's pool to run a request. The sender keeps the connection to the caller.
struct ForwardRequest {
    std::string requestId; ///< Unique across hosts and restarts; echoed in the answer.
    std::string service;
    std::string team;
    std::string priority;
    std::string idempotencyKey;
    bool idempotent = false;
    std::chrono::milliseconds timeLeft { 0 }; ///< Until the caller's deadline.
    std::string contentType;
    Bytes body;
    std::uint64_t configurationRevision = 0; ///< Revision in force at the sender.
    std::string homeDataCentre; ///< Data centre whose hosts hold the claim on the key; empty for idempotent requests.
    unsigned hops = 0; ///< Number of entry hosts that have forwarded it.
};

/// Answer to a ForwardRequest; exactly one is sent.
struct ForwardAnswer {
    std::string requestId;
    Answer answer;
};

/// The caller of a forwarded request has disconnected or cancelled the request.
struct ForwardCancel {
    std::string requestId;
    bool cancelledByKey = false; ///< The caller cancelled by idempotency key and still waits for the answer.
};

/// Identifies a non-idempotent request: its team, its idempotency key, and the pool whose holders keep the claim.
struct ClaimKey {
    std::string pool;
    std::string team;
    std::string idempotencyKey;

    auto operator<=>(const ClaimKey&) const = default; // NOLINT(modernize-use-nullptr): false finding in the defaulted comparison.
};

/// Asks a holder of the pool's claim records to record that the sender is about to run the request.
struct ClaimRequest {
    std::uint64_t token = 0; ///< Echoed in the reply.
    ClaimKey key;
    std::uint64_t bodyHash = 0;
    std::uint64_t viewEpoch = 0;
    bool allMembers = false; ///< The claim is sent to every member of the view, so a holder may grant it without a lease.
};

/// A holder's decision on a claim.
enum class ClaimVerdict {
    Granted,
    Running, ///< Already claimed and not finished.
    Finished, ///< Already run; the reply holds the answer.
    OtherBody, ///< The key was used with another body.
    StaleView, ///< The views of sender and holder differ, or the holder has no valid lease or incomplete records.
    ExpiredKey, ///< The key is past its retention or older than the holder's records, so an earlier run can't be ruled out.
    Full, ///< The holder has no space for another record.
};

/// Reply to a ClaimRequest.
struct ClaimReply {
    std::uint64_t token = 0;
    ClaimVerdict verdict = ClaimVerdict::StaleView;
    std::uint64_t viewEpoch = 0; ///< Of the holder.
    Answer answer; ///< Set for Finished.
};

/// The claimed request has ended. Its holders keep the answer for later duplicates.
struct ClaimFinished {
    ClaimKey key;
    Answer answer;
};

/// The claimed request was not run and won't be. Its holders drop the claim, so the key can be used again.
struct ClaimReleased {
    ClaimKey key;
    std::uint64_t token = 0; ///< Of the released claim; a later claim on the key stays.
};

/// A claim, sent to a new holder.
struct LedgerRecord {
    ClaimKey key;
    std::uint64_t bodyHash = 0;
    std::uint64_t token = 0;
    HostId claimant;
    bool finished = false;
    Answer answer;
};

/// Claims of a pool, sent to a host that has become one of its holders. May be split over several messages.
struct LedgerHandover {
    std::string pool;
    std::uint64_t viewEpoch = 0;
    Common::WallTime recordsCompleteSince {}; ///< The sender has every claim on keys issued after this; the maximum time if it can't tell.
    std::vector<LedgerRecord> records;
    bool last = false; ///< The last message of the hand-over.
};

/// Asks for a hand-over of a pool's claims. Sent by a new holder to every other member of its view.
struct LedgerQuery {
    std::string pool;
    std::uint64_t viewEpoch = 0; ///< A receiver in another view doesn't answer.
};

/// Slots of an upstream that the sender is using.
struct UpstreamUse {
    std::string upstream;
    unsigned inFlight = 0;
};

/// Load of a pool as its owner sees it.
struct PoolLoad {
    std::string pool;
    unsigned queued = 0;
    unsigned slots = 0;
    unsigned busy = 0;
    std::chrono::milliseconds expectedWait { 0 };
    std::vector<UpstreamUse> uses;
};

/// Sent to every peer once per heartbeat interval.
struct Heartbeat {
    std::uint64_t incarnation = 0; ///< Changes with each start of the host.
    std::string dataCentre;
    std::uint64_t viewEpoch = 0;
    std::uint64_t configurationRevision = 0;
    std::uint64_t assignmentVersion = 0; ///< The sender uses every upstream only as this version assigns it.
    bool ready = false;
    bool leaving = false;
    std::vector<PoolLoad> loads;
};

/// Asks a peer for its configuration if its revision is above `knownRevision`.
struct ConfigurationRequest {
    std::uint64_t knownRevision = 0;
};

/// A complete configuration that the sender has validated. The receiver validates it again.
struct ConfigurationOffer {
    std::uint64_t revision = 0;
    std::string changeId;
    Bytes document;
};

/// Asks a host to confirm that it uses every upstream only as this version of the assignment says.
struct AssignmentQuery {
    std::uint64_t version = 0;
    std::vector<std::string> upstreams; ///< Upstreams to be confirmed idle.
};

/// Confirms that the sender has nothing in flight on the idle upstreams and will send them nothing before a later version.
struct AssignmentAnswer {
    std::uint64_t version = 0;
    std::uint64_t incarnation = 0;
    std::vector<std::string> idle;
};

/// Any message. The index of an alternative is its number in a frame, so append new ones at the end.
using PeerMessage = std::variant<
    ForwardRequest,
    ForwardAnswer,
    ForwardCancel,
    ClaimRequest,
    ClaimReply,
    ClaimFinished,
    ClaimReleased,
    LedgerHandover,
    Heartbeat,
    ConfigurationRequest,
    ConfigurationOffer,
    AssignmentQuery,
    AssignmentAnswer,
    LedgerQuery>;

} // namespace Messages
