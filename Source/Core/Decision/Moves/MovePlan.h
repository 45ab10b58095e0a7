#pragma once

/// Turns the hosts that pools need and hold into single moves, within budgets and what is under way.

#include "Decision/Moves/MarginPolicy.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// What the margin policy wants of one pool.
struct PoolTarget {
    std::string pool;
    bool spare = false;
    unsigned needed = 0; ///< Fewer is a shortage.
    unsigned held = 0; ///< More is a surplus.
};

/// Builds the moves of one step.
class MovePlan {
public:
    static MovePlan create(const MoveInput&);

    /// Hosts that serve the pool or are on their way to it.
    unsigned presentHosts(const std::string& pool) const;
    /// Loans first, then shortages, the largest first, then surplus hosts on their way home.
    std::vector<MoveHost> build(const std::vector<PoolTarget>&);

private:
    explicit MovePlan(const MoveInput&);
    bool isMovable(const HostView&) const;
    bool mayLeave(const HostView&) const;
    void lend();
    void fill(const PoolTarget&, const std::vector<PoolTarget>&);
    void giveBack(const PoolTarget&, const std::vector<PoolTarget>&);
    const HostView* bestDonor(const std::string& to, const std::vector<PoolTarget>&) const;
    const HostView* bestLeaver(const PoolTarget&) const;
    std::string homeOf(const HostView&, const std::vector<PoolTarget>&) const;
    void move(const HostView&, const std::string& to);

    const MoveInput& m_input;
    std::set<std::string> m_reserved;
    std::set<std::string> m_moving;
    std::set<std::string> m_lent;
    std::map<std::string, unsigned> m_present;
    std::map<std::string, PoolTally> m_tallies;
    std::map<std::string, unsigned> m_required;
    std::vector<MoveHost> m_moves;
};

} // namespace Decision
