const CONFIRMATION_FLAG = '--yes'

/** The arguments of the `papayamoor` commands that the demo and the failure tests run. */
export const operatorCommands = {
  applyPolicy: (file: string) => ['policy', 'apply', file, '--reason', 'the policy of the deployment', CONFIRMATION_FLAG],
  takeOut: (dataCentre: string) => [
    'data-centre', 'take-out', dataCentre, '--reason', 'work on the power supply', CONFIRMATION_FLAG
  ],
  bringBack: (dataCentre: string) => ['data-centre', 'bring-back', dataCentre, '--reason', 'the work is done']
}
