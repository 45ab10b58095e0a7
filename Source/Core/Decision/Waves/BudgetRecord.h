#pragma once

/// Store records of budgets and of wave progress, with their keys and their JSON form.

#include "Common/Result.h"
#include "Common/Time.h"
#include "Decision/Waves/WaveError.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// Step that a reserved host is at.
enum class ReservationPhase {
    Draining,
    Rebooting,
    Returning,
    Moving, ///< Reserved by a move between pools.
};

/// A host whose disruption is paid for by the budget.
struct Reservation {
    std::string upstream;
    std::string wave; ///< Empty for a move.
    std::string holder; ///< The planner that wrote the entry last.
    ReservationPhase phase = ReservationPhase::Draining;
    std::uint64_t incarnation = 0; ///< Of the host when it was reserved; another one means that it has rebooted.
    bool rebooted = false;
    Common::WallTime since {}; ///< When the phase began, by the holder's clock.

    bool operator==(const Reservation&) const = default;
};

/// Value of the budget key of a service in a data centre.
struct BudgetRecord {
    std::uint64_t version = 0; ///< One more for each write.
    std::vector<Reservation> reserved;
};

/// Hosts of one rack that a wave has finished. One record per rack, so that a write stays small at any fleet size.
struct WaveRackRecord {
    std::uint64_t version = 0;
    std::set<std::string> done;
};

/// Prefix of the budget keys of a data centre, with its final slash.
std::string budgetPrefix(const std::string& dataCentre);
std::string budgetKey(const std::string& dataCentre, const std::string& service);

/// Prefix of the progress keys of a data centre, with its final slash.
std::string waveProgressPrefix(const std::string& dataCentre);
std::string waveProgressKey(const std::string& dataCentre, const std::string& wave, const std::string& rack);

std::string encodeBudgetRecord(const BudgetRecord&);
Common::Result<BudgetRecord, WaveError> decodeBudgetRecord(const std::string&);

std::string encodeWaveRackRecord(const WaveRackRecord&);
Common::Result<WaveRackRecord, WaveError> decodeWaveRackRecord(const std::string&);

} // namespace Decision
