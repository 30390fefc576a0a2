/* Shared macros: C linkage for the C++ tests, array sizes, bounds and format
 * checks. */
#ifndef BR_BASE_MACROS_H
#define BR_BASE_MACROS_H

#ifdef __cplusplus
#define BR_BEGIN_DECLS                                                         \
  extern "C"                                                                   \
  {
#define BR_END_DECLS }
#else
#define BR_BEGIN_DECLS
#define BR_END_DECLS
#endif

#define BR_N_ELEMENTS(array) (sizeof (array) / sizeof ((array)[0]))
#define BR_MIN(a, b) ((a) < (b) ? (a) : (b))
#define BR_MAX(a, b) ((a) > (b) ? (a) : (b))
#define BR_PRINTF(text_arg, first)                                             \
  __attribute__ ((__format__ (__printf__, text_arg, first)))

#endif
