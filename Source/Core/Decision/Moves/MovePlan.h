#pragma once

/// Computes the moves that bring pools to their targets, within the budgets and taking moves in flight into account.

#include "Decision/Moves/MarginPolicy.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// Target of the margin policy for one pool.
struct PoolTarget {
    std::string pool;
    bool spare = false;
    unsigned needed = 0; ///< The pool is short with fewer hosts.
    unsigned held = 0; ///< The pool has a surplus with more hosts.
};

/// Builds the moves of one step of MarginPolicy. Must not outlive its input.
class MovePlan {
public:
    static MovePlan create(const MoveInput&);

    /// Hosts that serve the pool or are moving to it.
    unsigned presentHosts(const std::string& pool) const;

    /// Plans loans first, then moves to pools with a shortage, the largest first, then the return of surplus hosts. May be
    /// called once.
    std::vector<MoveHost> build(const std::vector<PoolTarget>&);

private:
    explicit MovePlan(const MoveInput&);
    bool isMovable(const HostView&) const;
    bool mayLeave(const HostView&) const;
    void applyLoans();
    void fillShortage(const PoolTarget&, const std::vector<PoolTarget>&);
    void returnSurplus(const PoolTarget&, const std::vector<PoolTarget>&);
    const HostView* bestDonor(const std::string& to, const std::vector<PoolTarget>&) const;
    const HostView* bestHostToReturn(const PoolTarget&) const;
    std::string returnPool(const HostView&, const std::vector<PoolTarget>&) const;
    void move(const HostView&, const std::string& to);

    const MoveInput& m_input;
    std::set<std::string> m_reserved;
    std::set<std::string> m_moving;
    std::set<std::string> m_loaned;
    std::map<std::string, unsigned> m_present;
    std::map<std::string, PoolTally> m_tallies;
    std::map<std::string, unsigned> m_required;
    std::vector<MoveHost> m_moves;
};

} // namespace Decision
