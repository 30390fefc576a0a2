/* Chooses the engine that a run moves to.  Does no input or output and keeps no
 * state. */
#ifndef BR_MOVE_TARGET_H
#define BR_MOVE_TARGET_H

#include "site/choice.h"

BR_BEGIN_DECLS

/* Copies of this VM that are under way to one engine at most.  They queue on
 * its link. */
#define BR_MOVE_TARGET_MAX 2

typedef struct
{
  const br_site_service_t *service;
  const br_inbound_t *inbound;
  const br_fleet_upstream_t *source;  /* NULL: no longer known */
  br_name_t failure_domain;           /* of the source */
  br_version_t version;               /* that the run began at */
  uint64_t tokens;                    /* that it holds */
  br_ms_t copy_ms;                    /* within one failure domain */
  const br_fleet_upstream_t *refused; /* gets none; NULL: any may */
} br_move_query_t;

/* Returns the engine that the run moves to; its UPSTREAM is NULL when none has
 * room. */
br_choice_t br_move_target (const br_fleet_t *fleet,
                            const br_move_query_t *query,
                            br_ms_t now);

BR_END_DECLS

#endif
