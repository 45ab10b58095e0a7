#pragma once

/// Implementation of Ownership: the host's lease, the watched keys of members and duties, and the host's claims.

#include "Jobs/Runtime/DutyRanking.h"
#include "Jobs/Runtime/Ownership.h"

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Jobs {

/// Between attempts while the store doesn't answer or rejects calls.
constexpr std::chrono::milliseconds storeRetryDelay { 400 };

/// What becomes of a duty's term when its holder releases it.
enum class Release {
    Unserved, ///< It stays: the holder hasn't acted on the duty.
    Served, ///< Marked as released.
    Retired, ///< Deleted.
};

struct Ownership::State : std::enable_shared_from_this<Ownership::State> {
    State(Common::TaskLoop& taskLoop, Ports::PlatformPort& platformPort, OwnershipSettings ownershipSettings, Hooks ownershipHooks);

    void start();
    /// Runs the step after the delay; replaces the step that was scheduled before.
    void scheduleLeaseCall(std::chrono::milliseconds delay, void (State::*step)());
    void grant();
    void registerMember();
    void registerMemberLater();
    /// Best effort, not retried: without it, other hosts still rank this host and only wait until its turn has passed.
    void publishLeaving();
    /// Logs a call to the store that failed or whose outcome is uncertain.
    void logFailed(const char* call, const std::string& id, Ports::PlatformStatus status);
    void renew();
    void noteRenewalSent();
    void noteRenewalAnswer(Ports::PlatformStatus);
    void recordRenewal(Common::Instant sentAt);
    void handleLeaseLapse();
    void loseAll(const char* reason);
    void loseDuty(const std::string& duty, Fence fence, const char* reason);
    void handleKeyChange(const Ports::KeyValue& pair);
    void handleOwnerChange(const std::string& duty, const std::string& text, Fence fence);
    std::string ownerText() const { return settings.self.host + ' ' + std::to_string(settings.incarnation); }
    void handleKeyRemoval(const std::string& text);

    /// True for the duties of setDuties(), and for others that were held before and aren't retired. None is before the first setDuties().
    bool isDuty(const std::string& duty) const { return !duties.empty() && (duties.contains(duty) || terms.contains(duty)); }
    std::set<std::string> openDuties() const;
    std::string lastHolder(const std::string& duty) const;
    DutyCounts dutyCounts() const;
    void evaluateSoon();
    /// Repeats the evaluation while a duty has no holder: claims may fail, and what they depend on may arrive in any order.
    void evaluateLater();
    /// Every host assigns the open duties by the same ranking; each claims them after a delay that grows with its rank.
    void evaluateDuties();
    void evaluateOnceSettled();
    void scheduleOverloadCheck();
    /// Calls the `overloaded` hook after two checks in a row that found this host overloaded. Needed because after an outage the
    /// hosts that return first get the duties, regardless of their processor share.
    void checkOverload();
    void claimAfter(const std::string& duty, std::chrono::milliseconds delay);
    Predecessor predecessorOf(const std::string& term) const;
    /// Claims the duties that are still held by an earlier incarnation of this host, without waiting for that one's lease to
    /// lapse.
    void reclaim();
    /// Claims a duty if its key is still at the revision; zero when the key must not exist. In that case the term must be the one that
    /// this host knows, too: the duty may have been held and lost in between.
    void claim(const std::string& duty, Fence expectedRevision);
    void handleClaimFailure(const std::string& duty, Ports::PlatformStatus status);
    void becomeHolder(const std::string& duty, Fence fence);
    void release(const std::string& duty, Release);
    /// Deletes the duty's key. Marks the term as released only if this host was serving it: otherwise the holder before this
    /// one may still act on the duty, and the next holder must not rely on its end.
    void releaseKey(const std::string& duty, Fence fence, Release);
    /// Retries until the transaction is known to have been carried out or to have failed definitely.
    void transactUntilSettled(const std::string& duty, const Ports::Transaction& transaction);

    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    OwnershipSettings settings;
    Hooks hooks;
    std::unique_ptr<PrefixFeed> feed;
    std::map<std::string, MemberInfo> members;
    std::map<std::string, OwnerInfo> owners;
    std::map<std::string, Fence> ownedDuties; ///< Duties that this host holds.
    std::map<std::string, Ports::KeyValue> terms; ///< By duty: its last holder, or that it was released, as last seen in the store.
    std::map<std::string, Predecessor> predecessors; ///< By duty, as of this host's last claim.
    std::map<std::string, Fence> releasedFences; ///< By duty: events with this fence or an older one are stale.
    std::set<std::string> duties;
    std::set<std::string> pendingClaims; ///< Duties with a claim that is scheduled or in flight.
    Ports::LeaseId lease = 0;
    Common::Instant settledAt {}; ///< From then on the known members are taken to be complete.
    Common::Instant leaseValidUntil {}; ///< Counted from the sending of the last successful grant or renewal.
    Common::Instant lastContact {};
    Common::TaskLoop::TimerId leaseTimer = 0;
    Common::TaskLoop::TimerId evaluateTimer = 0;
    Common::TaskLoop::TimerId reevaluateTimer = 0;
    Common::TaskLoop::TimerId settleTimer = 0;
    Common::TaskLoop::TimerId overloadTimer = 0;
    bool isRegistered = false;
    bool isLeaving = false;
    bool isOverloadSuspected = false; ///< Result of the last overload check.
    bool isOver = false;
};

} // namespace Jobs
