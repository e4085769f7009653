#include "BaselineModels.h"

#include <algorithm>
#include <vector>

namespace rosemarylane::emulator {

FleetResult simulateOriginOnly(const FleetSettings &Settings) {
  FleetResult R;
  R.OriginCopies = static_cast<double>(Settings.Hosts);
  R.Max = std::max(1.0, R.OriginCopies / Settings.OriginRate);
  R.P50 = R.P95 = R.Max;
  R.Complete = true;
  return R;
}

FleetResult simulateFixedTree(const FleetSettings &Settings) {
  constexpr std::size_t Fanout = 2;
  std::size_t N = Settings.Hosts;
  double Chunk = 1.0 / static_cast<double>(Settings.Chunks);
  std::vector<std::vector<double>> ArrivalTime(
      N, std::vector<double>(Settings.Chunks, 0.0));
  std::vector<double> UplinkFreeAt(N, 0.0);
  for (std::size_t C = 0; C < Settings.Chunks; ++C) {
    ArrivalTime[0][C] =
        std::max(static_cast<double>(C + 1) * Chunk,
                 static_cast<double>(C + 1) * Chunk / Settings.OriginRate);
    for (std::size_t H = 0; H < N; ++H)
      for (std::size_t Child = Fanout * H + 1;
           Child <= Fanout * H + Fanout && Child < N; ++Child) {
        UplinkFreeAt[H] = std::max(UplinkFreeAt[H], ArrivalTime[H][C]) + Chunk;
        ArrivalTime[Child][C] = UplinkFreeAt[H];
      }
  }
  std::vector<double> Times;
  for (const auto &Chunks : ArrivalTime)
    Times.push_back(Chunks.back());
  std::sort(Times.begin(), Times.end());
  FleetResult R;
  R.P50 = Times[N / 2];
  R.P95 = Times[N * 95 / 100];
  R.Max = Times.back();
  R.OriginCopies = 1;
  R.LargestUpload = static_cast<double>(std::min(N - 1, Fanout));
  R.Complete = true;
  return R;
}

} // namespace rosemarylane::emulator
