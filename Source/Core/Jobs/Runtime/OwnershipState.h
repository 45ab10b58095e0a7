#pragma once

/// The insides of Ownership: the host's lease, the keys of members and duties that it follows, and its claims.

#include "Jobs/Runtime/DutyRanking.h"
#include "Jobs/Runtime/Ownership.h"

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Jobs {

/// While the store doesn't answer or refuses.
constexpr std::chrono::milliseconds storeRetryDelay { 400 };

struct Ownership::State : std::enable_shared_from_this<Ownership::State> {
    State(Common::TaskLoop& taskLoop, Ports::PlatformPort& platformPort, OwnershipSettings given, Hooks ownershipHooks);

    void start();
    void later(std::chrono::milliseconds delay, void (State::*step)());
    void grant();
    void enroll();
    void enrollLater();
    /// Best effort: others also see that this host doesn't claim.
    void tellLeaving();
    /// A call to the store that wasn't carried out, or of which that isn't known.
    void logFailed(const char* call, const std::string& id, Ports::PlatformStatus status);
    void renew();
    void renewed(Common::Instant sentAt);
    void leaseLapsed();
    void loseAll(const char* reason);
    void lose(const std::string& duty, Fence fence, const char* reason);
    void keyChanged(const Ports::KeyValue& pair);
    void ownerChanged(const std::string& duty, const std::string& text, Fence fence);
    std::string ownerText() const { return settings.self.host + ' ' + std::to_string(settings.incarnation); }
    void keyRemoved(const std::string& text);

    std::string lastHolder(const std::string& duty) const;
    DutyCounts dutyCounts() const;
    bool hasOpenDuty() const;
    void considerSoon();
    /// Claims may fail, and what they depend on may come to be known in any order.
    void considerAgain();
    /// Every host gives the open duties out in its mind, in the same way, and takes its own when its turn comes.
    void consider();
    void considerOnceSettled();
    void checkLoadLater();
    /// After an outage duties may lie with the hosts that were back first, whatever their strength.
    void checkLoad();
    void claimAt(const std::string& duty, std::chrono::milliseconds delay);
    Predecessor predecessorOf(const std::string& term) const;
    /// Takes again what this host's earlier incarnation has left, before its lease lapses.
    void reclaim();
    /// Takes a duty whose key is at that revision; zero when there is none.
    void claim(const std::string& duty, Fence from);
    void claimFailed(const std::string& duty, Ports::PlatformStatus status);
    void gained(const std::string& duty, Fence fence);
    void release(const std::string& duty);
    /// The next holder may rely on the end of a term only where this host has served it: the holder before may go on.
    void giveBack(const std::string& duty, Fence fence, bool hasServed);
    /// Tries until it is known to be done, or that it can't be any more.
    void transactSurely(const std::string& duty, const Ports::Transaction& transaction);

    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    OwnershipSettings settings;
    Hooks hooks;
    std::unique_ptr<PrefixFeed> feed;
    std::map<std::string, MemberInfo> members;
    std::map<std::string, OwnerInfo> owners;
    std::map<std::string, Fence> own;
    std::map<std::string, std::string> terms; ///< By duty: its last holder.
    std::map<std::string, Predecessor> predecessors; ///< By duty that was claimed.
    std::map<std::string, Fence> released; ///< Events of these and older keys are late ones.
    std::set<std::string> duties;
    std::set<std::string> claims; ///< Duties that a claim is waiting or under way for.
    Ports::LeaseId lease = 0;
    Common::Instant settledAt {}; ///< From then on the members that are known are taken for all that there are.
    Common::Instant leaseSureUntil {};
    Common::Instant lastContact {};
    Common::TaskLoop::TimerId leaseTimer = 0;
    Common::TaskLoop::TimerId considerTimer = 0;
    Common::TaskLoop::TimerId reconsiderTimer = 0;
    Common::TaskLoop::TimerId settleTimer = 0;
    Common::TaskLoop::TimerId loadTimer = 0;
    bool isRegistered = false;
    bool isLeaving = false;
    bool isAtLimit = false; ///< Another host would be better at the last check.
    bool isOver = false;
};

} // namespace Jobs
