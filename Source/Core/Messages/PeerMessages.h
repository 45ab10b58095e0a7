#pragma once

/// Messages between entry hosts, as typed values. Codec.h turns them into frames and back.
/// Times left are sent as durations, never as instants: clocks of two hosts aren't compared.

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

/// Asks the owner of the service's pool to run a request. The sender keeps the caller's connection.
struct ForwardRequest {
    std::string requestId; ///< Unique over all hosts and restarts; echoed in the answer.
    std::string service;
    std::string team;
    std::string priority;
    std::string idempotencyKey;
    bool idempotent = false;
    std::chrono::milliseconds timeLeft { 0 };
    std::string contentType;
    Bytes body;
    std::uint64_t configurationRevision = 0; ///< In force at the sender.
    std::string homeDataCentre; ///< Whose hosts keep the claim on the key; empty for idempotent requests.
    unsigned hops = 0; ///< Entry hosts passed so far.
};

/// The one answer to a ForwardRequest.
struct ForwardAnswer {
    std::string requestId;
    Answer answer;
};

/// The caller of a forwarded request has gone, or has cancelled it.
struct ForwardCancel {
    std::string requestId;
    bool cancelledByKey = false; ///< Cancelled by its key; the caller still waits for the answer.
};

/// Names a non-idempotent request: the team, its key, and the pool whose holders keep the record.
struct ClaimKey {
    std::string pool;
    std::string team;
    std::string idempotencyKey;

    auto operator<=>(const ClaimKey&) const = default; // NOLINT(modernize-use-nullptr): false finding in the defaulted comparison.
};

/// Asks a holder to record that the sender is about to run the request.
struct ClaimRequest {
    std::uint64_t token = 0; ///< Echoed in the reply.
    ClaimKey key;
    std::uint64_t bodyHash = 0;
    std::uint64_t viewEpoch = 0;
    bool allMembers = false; ///< Every member of the view is asked, so that a holder needs no lease to grant.
};

/// What a holder says to a claim.
enum class ClaimVerdict {
    Granted,
    Running, ///< Claimed before and not finished.
    Finished, ///< Ran before; the answer is enclosed.
    OtherBody, ///< The key was used with another body.
    StaleView, ///< The sender's view isn't the holder's.
    ExpiredKey, ///< The key is older than the holder's memory.
    Full, ///< No room for a further record.
};

struct ClaimReply {
    std::uint64_t token = 0;
    ClaimVerdict verdict = ClaimVerdict::StaleView;
    std::uint64_t viewEpoch = 0; ///< The holder's.
    Answer answer; ///< Set for Finished.
};

/// The claimed request ended; its holders keep the answer for later duplicates.
struct ClaimFinished {
    ClaimKey key;
    Answer answer;
};

/// The claimed request was surely not run and won't be: the key is free again.
struct ClaimReleased {
    ClaimKey key;
    std::uint64_t token = 0; ///< Of the claim that is given up; a later claim isn't touched.
};

/// One remembered claim, handed to a new holder.
struct LedgerRecord {
    ClaimKey key;
    std::uint64_t bodyHash = 0;
    std::uint64_t token = 0;
    HostId claimant;
    bool finished = false;
    Answer answer;
};

/// Records of a pool for a host that has become one of its holders. Several parts; the last one completes it.
struct LedgerHandover {
    std::string pool;
    std::uint64_t viewEpoch = 0;
    Common::WallTime recordsCompleteSince {}; ///< The sender vouches for keys issued after this; the maximum when it vouches for none.
    std::vector<LedgerRecord> records;
    bool last = false;
};

/// Asks for a hand-over of a pool's records; sent by a new holder to every other member of its view.
struct LedgerQuery {
    std::string pool;
    std::uint64_t viewEpoch = 0; ///< The receiver answers only in the same view.
};

/// Slots in use on an upstream at the sender.
struct UpstreamUse {
    std::string upstream;
    unsigned inFlight = 0;
};

/// How busy a pool is at its owner.
struct PoolLoad {
    std::string pool;
    unsigned queued = 0;
    unsigned slots = 0;
    unsigned busy = 0;
    std::chrono::milliseconds expectedWait { 0 };
    std::vector<UpstreamUse> uses;
};

/// Sent to every peer once a heartbeat interval.
struct Heartbeat {
    std::uint64_t incarnation = 0; ///< Differs for every start of a host.
    std::string dataCentre;
    std::uint64_t viewEpoch = 0;
    std::uint64_t configurationRevision = 0;
    std::uint64_t assignmentVersion = 0; ///< The sender uses no upstream otherwise than this version says.
    bool ready = false;
    bool leaving = false;
    std::vector<PoolLoad> loads;
};

/// Asks a peer for its configuration if it has a revision above this one.
struct ConfigurationRequest {
    std::uint64_t knownRevision = 0;
};

/// A configuration, whole and already checked by the sender; the receiver checks it again.
struct ConfigurationOffer {
    std::uint64_t revision = 0;
    std::string changeId;
    Bytes document;
};

/// Asks for an explicit answer that the host uses no upstream otherwise than at this version.
struct AssignmentQuery {
    std::uint64_t version = 0;
    std::vector<std::string> upstreams; ///< That are to be known idle.
};

/// Explicit answer: nothing in flight on these, and nothing will be sent to them before a later version.
struct AssignmentAnswer {
    std::uint64_t version = 0;
    std::uint64_t incarnation = 0;
    std::vector<std::string> idle;
};

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
