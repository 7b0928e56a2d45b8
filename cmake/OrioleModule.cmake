# oriole_module(NAME [NO_INSTALL] DEPS a b LIBS x y PRIVATE_HEADERS p q)
# NO_INSTALL: not a part of the library that others embed.
# Makes the static library oriole_NAME of every .cc in the current folder,
# installs it with its headers, and exports it as oriolewalk::NAME. Headers and
# folders under PRIVATE_HEADERS are the module's own: they aren't installed,
# since a user couldn't compile what they include.
function(oriole_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow)
  if(ORIOLE_WERROR)
    target_compile_options(${target} PRIVATE -Werror)
  endif()
endfunction()

function(oriole_module name)
  cmake_parse_arguments(ARG "NO_INSTALL" "" "DEPS;LIBS;PRIVATE_HEADERS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  set(target oriole_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
    oriole_warnings(${target})
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_compile_features(${target} ${scope} cxx_std_20)
  target_include_directories(
    ${target} ${scope} $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}>
                       $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  list(TRANSFORM ARG_DEPS PREPEND oriole_)
  target_link_libraries(${target} ${scope} ${ARG_DEPS} ${ARG_LIBS})
  if(ARG_NO_INSTALL)
    return()
  endif()
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
  install(TARGETS ${target} EXPORT oriolewalkTargets
          ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  set(private)
  foreach(header IN LISTS ARG_PRIVATE_HEADERS)
    list(APPEND private PATTERN ${header} EXCLUDE)
  endforeach()
  install(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}/
          DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/oriolewalk/${name}
          FILES_MATCHING PATTERN "*.h" ${private})
endfunction()
