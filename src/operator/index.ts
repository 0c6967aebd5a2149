import { Audit } from './commands/Audit.js'
import { DataCentreBringBack } from './commands/DataCentreBringBack.js'
import { DataCentreList } from './commands/DataCentreList.js'
import { DataCentreTakeOut } from './commands/DataCentreTakeOut.js'
import { Explain } from './commands/Explain.js'
import { PolicyApply } from './commands/PolicyApply.js'
import { PolicyCheck } from './commands/PolicyCheck.js'
import { PolicyDiff } from './commands/PolicyDiff.js'
import { PolicyExplain } from './commands/PolicyExplain.js'
import { PolicyHistory } from './commands/PolicyHistory.js'
import { Status } from './commands/Status.js'
import { TaskCancel } from './commands/TaskCancel.js'
import { TaskList } from './commands/TaskList.js'
import { TaskShow } from './commands/TaskShow.js'
import { TaskSubmit } from './commands/TaskSubmit.js'
import { WorkerDeclareLost } from './commands/WorkerDeclareLost.js'
import { WorkerList } from './commands/WorkerList.js'
import { WorkerQuarantine } from './commands/WorkerQuarantine.js'
import { WorkerRelease } from './commands/WorkerRelease.js'

/** The commands of the `papayamoor` program by their oclif names; `package.json` refers to this constant. */
export const commands = {
  audit: Audit,
  'data-centre:bring-back': DataCentreBringBack,
  'data-centre:list': DataCentreList,
  'data-centre:take-out': DataCentreTakeOut,
  explain: Explain,
  'policy:apply': PolicyApply,
  'policy:check': PolicyCheck,
  'policy:diff': PolicyDiff,
  'policy:explain': PolicyExplain,
  'policy:history': PolicyHistory,
  status: Status,
  'task:cancel': TaskCancel,
  'task:list': TaskList,
  'task:show': TaskShow,
  'task:submit': TaskSubmit,
  'worker:declare-lost': WorkerDeclareLost,
  'worker:list': WorkerList,
  'worker:quarantine': WorkerQuarantine,
  'worker:release': WorkerRelease
}
