#pragma once

/// Lists the fields of each message in the order in which they are sent. A visitor is called with the fields of a
/// structure, as const references to write them and as mutable ones to read them.

#include "Messages/PeerMessages.h"

#include <concepts>
#include <type_traits>

namespace Messages {

/// T or const T.
template<typename M, typename T>
concept MaybeConst = std::same_as<std::remove_const_t<M>, T>;

template<typename V, MaybeConst<Answer> M>
void visitFields(V& v, M& m)
{
    v(m.outcome, m.reason, m.retryAfter, m.status, m.contentType, m.body);
}

template<typename V, MaybeConst<ForwardRequest> M>
void visitFields(V& v, M& m)
{
    v(m.requestId, m.service, m.team, m.priority, m.idempotencyKey, m.idempotent, m.timeLeft);
    v(m.contentType, m.body, m.configurationRevision, m.homeDataCentre, m.hops);
}

template<typename V, MaybeConst<ForwardAnswer> M>
void visitFields(V& v, M& m)
{
    v(m.requestId, m.answer);
}

template<typename V, MaybeConst<ForwardCancel> M>
void visitFields(V& v, M& m)
{
    v(m.requestId, m.cancelledByKey);
}

template<typename V, MaybeConst<ClaimKey> M>
void visitFields(V& v, M& m)
{
    v(m.pool, m.team, m.idempotencyKey);
}

template<typename V, MaybeConst<ClaimRequest> M>
void visitFields(V& v, M& m)
{
    v(m.token, m.key, m.bodyHash, m.viewEpoch, m.allMembers);
}

template<typename V, MaybeConst<ClaimReply> M>
void visitFields(V& v, M& m)
{
    v(m.token, m.verdict, m.viewEpoch, m.answer);
}

template<typename V, MaybeConst<ClaimFinished> M>
void visitFields(V& v, M& m)
{
    v(m.key, m.answer);
}

template<typename V, MaybeConst<ClaimReleased> M>
void visitFields(V& v, M& m)
{
    v(m.key, m.token);
}

template<typename V, MaybeConst<LedgerRecord> M>
void visitFields(V& v, M& m)
{
    v(m.key, m.bodyHash, m.token, m.claimant, m.finished, m.answer);
}

template<typename V, MaybeConst<LedgerHandover> M>
void visitFields(V& v, M& m)
{
    v(m.pool, m.viewEpoch, m.recordsCompleteSince, m.records, m.last);
}

template<typename V, MaybeConst<LedgerQuery> M>
void visitFields(V& v, M& m)
{
    v(m.pool, m.viewEpoch);
}

template<typename V, MaybeConst<UpstreamUse> M>
void visitFields(V& v, M& m)
{
    v(m.upstream, m.inFlight);
}

template<typename V, MaybeConst<PoolLoad> M>
void visitFields(V& v, M& m)
{
    v(m.pool, m.queued, m.slots, m.busy, m.expectedWait, m.uses);
}

template<typename V, MaybeConst<Heartbeat> M>
void visitFields(V& v, M& m)
{
    v(m.incarnation, m.dataCentre, m.viewEpoch, m.configurationRevision, m.assignmentVersion);
    v(m.ready, m.leaving, m.loads);
}

template<typename V, MaybeConst<ConfigurationRequest> M>
void visitFields(V& v, M& m)
{
    v(m.knownRevision);
}

template<typename V, MaybeConst<ConfigurationOffer> M>
void visitFields(V& v, M& m)
{
    v(m.revision, m.changeId, m.document);
}

template<typename V, MaybeConst<AssignmentQuery> M>
void visitFields(V& v, M& m)
{
    v(m.version, m.upstreams);
}

template<typename V, MaybeConst<AssignmentAnswer> M>
void visitFields(V& v, M& m)
{
    v(m.version, m.incarnation, m.idle);
}

/// Largest value of each enumeration that is sent; FieldReader rejects larger ones. Update it when an enumerator is added.
constexpr Ports::Outcome lastValue(Ports::Outcome) { return Ports::Outcome::Unknown; }
constexpr Ports::Reason lastValue(Ports::Reason) { return Ports::Reason::StillRunning; }
constexpr ClaimVerdict lastValue(ClaimVerdict) { return ClaimVerdict::Full; }

} // namespace Messages
