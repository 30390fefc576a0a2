/* Stores all work of a VM, indexed by number and by contract. */
#ifndef BR_SHELL_WORK_TABLE_H
#define BR_SHELL_WORK_TABLE_H

#include "shell/work_task.h"

BR_BEGIN_DECLS

typedef struct br_work_table br_work_table_t;

br_work_table_t *br_work_table_new (void);

/* Frees the table and all work in it. */
void br_work_table_free (br_work_table_t *table);

/* Adds empty work.  Neither NUMBER nor CONTRACT may be in the table already.
 * The table owns the work. */
br_work_t *br_work_table_add (br_work_table_t *table,
                              uint64_t number,
                              const br_contract_id_t *contract);

/* Return NULL when there is none. */
br_work_t *br_work_table_find (br_work_table_t *table, uint64_t number);
br_work_t *br_work_table_find_contract (br_work_table_t *table,
                                        const br_contract_id_t *contract);
void br_work_table_remove (br_work_table_t *table, br_work_t *work);

/* Calls VISIT for each piece of work.  VISIT may remove that piece. */
void br_work_table_each (br_work_table_t *table,
                         void (*visit) (br_work_t *work, void *context),
                         void *context);

BR_END_DECLS

#endif
