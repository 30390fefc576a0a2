/* Simplified uthash macros for cppcheck, which does not read uthash's header. */
#define HASH_ITER(hh, head, el, tmp)                                          \
  for ((el) = (head), (tmp) = 0; (el); (el) = (tmp))
#define HASH_FIND(hh, head, key, len, out) ((out) = (head))
#define HASH_FIND_STR(head, key, out) ((out) = (head))
