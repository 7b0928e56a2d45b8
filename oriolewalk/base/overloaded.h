#pragma once

namespace oriolewalk {

// Joins lambdas to one visitor: std::visit(overloaded{ ... }, variant).
template<class... Visitors>
struct overloaded : Visitors...
{
  using Visitors::operator()...;
};

// clang 16, which lints us, does not yet deduce this for an aggregate.
template<class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace oriolewalk
