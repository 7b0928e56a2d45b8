#pragma once

namespace oriolewalk {

// Joins lambdas to one visitor: std::visit(overloaded{ ... }, variant).
template<class... Visitors>
struct overloaded : Visitors...
{
  using Visitors::operator()...;
};

// Not needed by C++20, but by clang before 17.
template<class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace oriolewalk
