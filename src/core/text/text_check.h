/* text_check.h - cross-section validation of a configuration text.

   Needs: text_keys.h.  */

#ifndef MQ_TEXT_CHECK_H
#define MQ_TEXT_CHECK_H

#include "text_keys.h"

/**
 * struct mq_text_draft - a configuration being parsed
 * @text: values parsed so far, with the three sorted indices
 * @ini: parsed INI source
 * @rows: table row for each section of @ini, NULL if its header is invalid
 * @service_sections: section of each service
 * @organisation_sections: section of each organisation
 */
struct mq_text_draft
{
  struct mq_text *text;
  struct mq_ini *ini;
  const struct mq_key_section **rows;
  const struct mq_ini_section **service_sections;
  const struct mq_ini_section **organisation_sections;
  struct mq_error_list errors;
};

/* Resolves dependencies and routes, and reports unknown names, dependency
   cycles, unmeetable budgets, wrong numbers of models and duplicate keys.  */
void mq_text_check (struct mq_text_draft *draft);

#endif
