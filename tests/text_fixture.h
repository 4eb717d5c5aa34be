/* text_fixture.h - what the tests of operators' texts share.

   Needs: text.h, Criterion.  */

#ifndef MQ_TEXT_FIXTURE_H
#define MQ_TEXT_FIXTURE_H

#include "core/text/text.h"

/* Smallest whole text; sections may be put after it.  */
#define FIXTURE_SITE "[site]\nname = s\n"
#define FIXTURE_MODEL "[service m]\nkind = model\nmodel = x\n"

/* The examples of the repository, NULL at the end.  */
extern const char *const fixture_examples[];

/* Whole file below CTX, zero-terminated; fails the test when it can't be
   read.  */
char *fixture_read (TALLOC_CTX *ctx, const char *file, size_t *len);
/* Checked text of SOURCE; fails the test when it has an error.  */
struct mq_text *fixture_parse (TALLOC_CTX *ctx, const char *source);

#endif
