export * from './HttpInstanceList.js'
export * from './InstanceList.js'
export * from './MembershipView.js'
