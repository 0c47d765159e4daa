# Writes a CTest file with one test per test case of a Boost.Test program.
#
# Input: TEST_PROGRAM, TEST_MODULE, TEST_FILE, TEST_ENVIRONMENT, TEST_LOCK.
execute_process(COMMAND ${TEST_PROGRAM} --list_content
                ERROR_VARIABLE CONTENT OUTPUT_VARIABLE CONTENT
                RESULT_VARIABLE RESULT)
if(NOT RESULT EQUAL 0)
  message(FATAL_ERROR "${TEST_PROGRAM} --list_content failed: ${CONTENT}")
endif()

string(REPLACE "\n" ";" LINES "${CONTENT}")
set(SUITE "")
set(SCRIPT "")
foreach(LINE IN LISTS LINES)
  if(LINE MATCHES "^([A-Za-z0-9_]+)\\*?")
    set(SUITE ${CMAKE_MATCH_1})
  elseif(LINE MATCHES "^    ([A-Za-z0-9_]+)\\*?")
    set(CASE "${SUITE}/${CMAKE_MATCH_1}")
    set(NAME "${TEST_MODULE}/${CASE}")
    string(APPEND SCRIPT
      "add_test([==[${NAME}]==] [==[${TEST_PROGRAM}]==] [==[--run_test=${CASE}]==])\n"
      "set_tests_properties([==[${NAME}]==] PROPERTIES TIMEOUT 240"
      " ENVIRONMENT [==[${TEST_ENVIRONMENT}]==]")
    if(TEST_LOCK)
      string(APPEND SCRIPT " RESOURCE_LOCK ${TEST_LOCK}")
    endif()
    string(APPEND SCRIPT ")\n")
  endif()
endforeach()
file(WRITE ${TEST_FILE} "${SCRIPT}")
