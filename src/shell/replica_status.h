/* Prints the replica's part of the status for operators. */
#ifndef BR_SHELL_REPLICA_STATUS_H
#define BR_SHELL_REPLICA_STATUS_H

#include "replica/replica.h"

BR_BEGIN_DECLS

typedef struct
{
  const br_replica_t *replica;
  uint64_t disk;
  bool failed;    /* the data folder cannot be written any more */
  bool has_space; /* for further proposals */
} br_replica_status_t;

/* Appends one JSON object. */
void br_replica_status_print (const br_replica_status_t *status, br_buf_t *out);

BR_END_DECLS

#endif
