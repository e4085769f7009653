#ifndef ROSEMARYLANE_SERVING_DOMAIN_SPILL_H
#define ROSEMARYLANE_SERVING_DOMAIN_SPILL_H

#include "core/BootClock.h"
#include "core/Ids.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarylane::serving {

/// Settings of `DomainSpill`, constant within a process.
struct DomainSpillSettings {
  core::FailureDomainId OwnDomain;
  std::map<core::FailureDomainId, core::RegionId> RegionOf;
  /// Time by which the first event must come sooner from a target in another
  /// failure domain of the same region.
  std::chrono::milliseconds LeaveAfter{160};
  /// The same for a failure domain of another region.
  std::chrono::milliseconds LeaveRegionAfter{160};
  /// Time that one megabyte sent to or from another failure domain counts as.
  std::chrono::milliseconds TimePerMegabyte{0};
  /// Time that one point of the load balancer's score stands for.
  std::chrono::milliseconds TimePerPoint{40};
  /// Growth and decline of a domain's pressure in a second, at most.
  double PressureGrowth = 2;
  double PressureDecline = 4;
  /// Half-life of the smoothed room of a domain.
  std::chrono::milliseconds RoomHalfLife{200};
  /// A domain without usable targets that report for at least this long comes
  /// back in `ReturnSteps` equal steps over `ReturnTime`. A report counts until
  /// it is no longer fresh, so a domain that was cut off was out of touch for
  /// longer.
  std::chrono::milliseconds AbsenceTime{500};
  std::chrono::milliseconds ReturnTime{3000};
  std::uint32_t ReturnSteps = 6;
};

/// Room at the targets of one service in one failure domain, by their reports.
struct DomainRoom {
  /// Targets that accept work.
  std::size_t Targets = 0;
  /// Those of them whose last report is fresh.
  std::size_t Reporting = 0;
  /// Free slots and all slots of these.
  double Free = 0;
  double Capacity = 0;
};

/// What a request pays for leaving the failure domain, in both measures of the
/// load balancer.
struct DomainSurcharge {
  double Points = 0;
  std::chrono::milliseconds Time{0};
};

/// Why a request left the failure domain.
enum class DomainLeave {
  /// It did not leave.
  Stayed,
  /// No target of the own domain may take it.
  NoOwnTarget,
  /// The own domain's targets have no room for it.
  OwnDomainFull,
  /// The own domain has room, but another one is better by the surcharge.
  Better,
};

/// Decides, for each service, how much of this gateway's demand leaves its
/// failure domain, and what a request that leaves must gain.
///
/// A domain keeps a reserve of one standard deviation of its load if all its
/// slots are in use (the square root of the slots). Below the reserve it is
/// under pressure: requests may leave it. Above one and a half reserves the
/// rest is its surplus, which the gateways of other domains may fill, each its
/// part, scaled by the pressure in its own domain. So no domain gives and takes
/// at once; nothing leaves while all domains have room, nor while all lack it.
/// Pressure ends at two reserves, and grows and declines gradually.
///
/// All gateways see the same reports and so reckon with nearly the same shares
/// of each target; no messages are exchanged. A gateway owns one instance for
/// its lifetime. Has no clock of its own. Not thread-safe.
class DomainSpill {
public:
  using Rooms = std::map<core::FailureDomainId, DomainRoom>;
  using GatewayCounts = std::map<core::FailureDomainId, std::size_t>;
  /// Called when this gateway's requests of a service begin or cease to leave
  /// because its own domain lacks room.
  /// @param Pressure 0 when they cease.
  using PressureHook =
      std::function<void(const std::string &Service, double Pressure)>;

  explicit DomainSpill(DomainSpillSettings Settings)
      : Settings(std::move(Settings)) {}

  void onPressure(PressureHook Hook) { OnPressure = std::move(Hook); }

  /// Takes the room of all domains that have targets of \p Service. Call it
  /// several times a second.
  void observe(const std::string &Service, const Rooms &Seen,
               core::BootTime Now);

  /// Records whether a request found room at a target of the own domain that
  /// may take it.
  void recordOwnRoom(std::string_view Service, bool Found, core::BootTime Now);

  /// @return whether the decisions apply: the own domain and another one have
  /// targets of \p Service, and most of the own ones report. Otherwise what
  /// leaves is not limited here.
  bool isActive(std::string_view Service) const;

  /// @return the part of the free places of a target in \p To that this gateway
  /// may fill. The parts of all gateways add up to at most 1.
  double share(std::string_view Service, const core::FailureDomainId &To,
               const GatewayCounts &Gateways) const;

  /// @return what a request pays for leaving to \p To; nothing in the own
  /// domain.
  /// @param Bytes expected bytes of the request and its response.
  DomainSurcharge surcharge(const core::FailureDomainId &To,
                            std::uint64_t Bytes) const;

  /// @return the pressure in the own domain, 0 to 1; the part of its share of
  /// other domains' surplus that this gateway may use.
  double pressure(std::string_view Service) const;

private:
  /// State of one domain for one service.
  struct Domain {
    DomainRoom Room;
    double SmoothFree = 0;
    /// Part of the free places that gateways of other domains may fill.
    double Surplus = 0;
    double Pressure = 0;
    bool UnderPressure = false;
    /// When most targets last reported.
    std::optional<core::BootTime> KnownAt;
    /// Since when most targets don't, after they did.
    std::optional<core::BootTime> AbsentSince;
    /// When the domain came back, if it was absent.
    std::optional<core::BootTime> ReturnedAt;
    /// Part of what it may get, while it comes back.
    double ReturnPart = 1;

    bool isKnown() const {
      return Room.Reporting > 0 && 2 * Room.Reporting >= Room.Targets;
    }
  };
  struct ServiceState {
    std::map<core::FailureDomainId, Domain> Domains;
    std::optional<core::BootTime> ObservedAt;
    /// Since when no request has found room in the own domain.
    std::optional<core::BootTime> LackSince;
    core::BootTime LackSeenAt{};
    bool Announced = false;
  };

  const ServiceState *find(std::string_view Service) const;
  void updateReturn(Domain &D, core::BootTime Now) const;
  void updateRoom(Domain &D, std::chrono::duration<double> Elapsed) const;
  void updatePressure(Domain &D, bool Lacks,
                      std::chrono::duration<double> Elapsed) const;
  bool lacksRoom(const ServiceState &S, core::BootTime Now) const;
  /// @return the weight of a gateway of \p From at the targets of \p To.
  double weight(const ServiceState &S, const core::FailureDomainId &From,
                const core::FailureDomainId &To,
                const GatewayCounts &Gateways) const;
  void announce(const std::string &Service, ServiceState &S);

  DomainSpillSettings Settings;
  PressureHook OnPressure;
  std::map<std::string, ServiceState, std::less<>> Services;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_DOMAIN_SPILL_H
