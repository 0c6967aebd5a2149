#!/usr/bin/env node
import { flush, handle } from '@oclif/core'
import { CheckConfigurationCommand } from '../dist/platform/CheckConfigurationCommand.js'

await CheckConfigurationCommand.run(process.argv.slice(2), import.meta.url).then(() => flush(), handle)
