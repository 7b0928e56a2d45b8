#pragma once

namespace oriolewalk {

// Joins lambdas to one visitor: std::visit(overloaded{ ... }, variant).
template<class... Visitors>
struct overloaded : Visitors...
{
  using Visitors::operator()...;
};

} // namespace oriolewalk
