/* load_compare.h - compares and plots the results of several runs.

   Needs: load_result.h.  */

#ifndef MQ_LOAD_COMPARE_H
#define MQ_LOAD_COMPARE_H

#include "load_result.h"

/* Returns a table of all labels with the range over their runs, then one line

     bench: PROFILE MEASURE ours=V baseline=NAME:V ratio=R

   for each measure and each label except OURS; lower is better.  The result is
   a child of CTX.  */
char *mq_load_compare (TALLOC_CTX *ctx, const char *ours,
                       const struct mq_load_result *const *results,
                       size_t count);
/* Returns an SVG document: latency against load, and cache use over time.  */
char *mq_load_plot (TALLOC_CTX *ctx,
                    const struct mq_load_result *const *results, size_t count);

#endif
