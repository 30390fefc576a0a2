/* The memory that this process may use. */
#ifndef BR_BASE_MEMORY_SIZE_H
#define BR_BASE_MEMORY_SIZE_H

#include <stddef.h>

#include "base/macros.h"

BR_BEGIN_DECLS

/* Returns the least of the machine's memory, the limit of the process's control
 * group and that on its address space, in bytes. */
size_t br_memory_size (void);

BR_END_DECLS

#endif
