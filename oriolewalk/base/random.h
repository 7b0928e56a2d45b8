#pragma once

// Random numbers as values: a core is given a seed and owns its generator, so
// that one seed repeats one run exactly on every machine (the standard's
// distributions may differ between libraries; the two below do not).

#include <cstdint>
#include <random>

namespace oriolewalk {

class random_source
{
public:
  explicit random_source(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  // 64 random bits.
  std::uint64_t Bits() { return mEngine(); }

  // Uniform in [0, aBound); aBound must not be 0. The bias of the modulo is
  // below 2^-32 for bounds under 2^32, far under what jitter needs.
  std::uint64_t Below(std::uint64_t aBound) { return mEngine() % aBound; }

  // Uniform in [0, 1).
  double Fraction()
  {
    constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
    constexpr int kSpareBits = 11;
    return static_cast<double>(mEngine() >> kSpareBits) * kScale;
  }

private:
  std::mt19937_64 mEngine;
};

} // namespace oriolewalk
