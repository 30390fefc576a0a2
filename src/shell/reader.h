/* The callers that read answers: each is written what is new of the answer of
 * its work, as a stream of events or as a whole. */
#ifndef BR_SHELL_READER_H
#define BR_SHELL_READER_H

#include <event2/http.h>

#include "shell/engine_body.h"
#include "shell/work_task.h"

BR_BEGIN_DECLS

typedef struct br_readers br_readers_t;

br_readers_t *br_readers_new (br_node_t *node);

/* Leaves the requests alone: they end with their connections. */
void br_readers_free (br_readers_t *readers);

/* REQUEST reads the answer of WORK as HEAD says, or, when the caller comes
 * back, behind RESUME (otherwise NULL). */
void br_readers_add (br_readers_t *readers,
                     struct evhttp_request *request,
                     br_work_t *work,
                     const br_completion_head_t *head,
                     const br_event_id_t *resume);

/* Writes what is new of the answer of WORK. */
void br_readers_on_work (br_readers_t *readers, uint64_t work);
size_t br_readers_count (const br_readers_t *readers);

BR_END_DECLS

#endif
